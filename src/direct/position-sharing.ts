import type { DirectGroup } from "./group.js";
import type { PositionsRequest, SharedPositions } from "./group-positions.js";

const noPositions: SharedPositions = { primary: undefined, replicas: [] };

/** Lists the positions to tell another gateway; none where slots are not planned. */
export function sharePositions(group: DirectGroup): SharedPositions {
  // Queried before the ages are computed: a process that was suspended discards its positions by it.
  const primary = group.findPrimary();
  return group.isSlotPlanned ? group.positions.share(primary) : noPositions;
}

/** Applies the positions that another gateway told. */
export function applySharedPositions(
  group: DirectGroup,
  shared: SharedPositions,
  request: PositionsRequest,
): void {
  // Queried first: a process that was suspended discards its positions, and what it has requested, by it.
  const primary = group.findPrimary();
  if (!group.isSlotPlanned) return;
  const replicas = shared.replicas.filter(({ target }) => group.hasTarget(target));
  group.positions.applyShared({ ...shared, replicas }, request, primary);
}
