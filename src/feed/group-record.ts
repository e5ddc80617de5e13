import type { AnnouncedTarget } from "../direct/index.js";
import type { Json } from "../model/index.js";
import type { GroupRecord, ListedTarget, TargetListing } from "./feed.js";
import { isAddressReused, missingEntryGraceMs, type FeedState } from "./state.js";

/** Encodes a group's targets sorted by name, so that equal sets of targets give equal records. */
export function encodeGroupTargets(targets: readonly AnnouncedTarget[]): Json {
  const sorted = [...targets].sort((a, b) => (a.name < b.name ? -1 : 1));
  return JSON.parse(JSON.stringify({ targets: sorted })) as Json;
}

/** Decodes the output of `encodeGroupTargets`; undefined when the value is malformed. */
export function decodeGroupTargets(value: Json): readonly AnnouncedTarget[] | undefined {
  if (value === null || typeof value !== "object" || !("targets" in value)) return undefined;
  const { targets } = value as { readonly targets: unknown };
  if (!Array.isArray(targets)) return undefined;
  const decoded = targets as readonly AnnouncedTarget[];
  return decoded.every(hasTargetFields) ? decoded : undefined;
}

function hasTargetFields({ name, address }: Partial<AnnouncedTarget>): boolean {
  return (
    typeof name === "string" &&
    typeof address?.host === "string" &&
    typeof address.port === "number"
  );
}

/** Returns new records for the groups whose stored record differs from the targets listed now. */
export function findOutdatedRecords(
  { routes, targets }: FeedState,
  records: readonly GroupRecord[],
): readonly GroupRecord[] {
  const byGroup = new Map(records.map((record) => [record.group, record]));
  const listed = new Map<string, AnnouncedTarget[]>();
  for (const group of routes?.connections.keys() ?? []) listed.set(group, []);
  for (const { group, target } of targets.values()) listed.get(group)?.push(target);
  return [...listed].flatMap(([group, current]) => {
    const record = byGroup.get(group);
    const isSame = hasSameTargets(record?.targets ?? [], current);
    return isSame ? [] : [{ group, targets: current, version: record?.version ?? 0 }];
  });
}

/**
 * Adds the recorded targets that are missing from a process's first listing.
 *
 * Targets' entries expire while the store is unavailable. A process that starts during the outage, as all
 * do after a power failure, has no earlier listing: it would get its routes and its permit as soon as the
 * store returns, and refuse every statement of a group until the primary's entry reappears. The missing
 * targets are therefore used for the grace period in which entries reappear. A recorded target that no
 * longer exists does no harm, because a connection names the target that it is meant for.
 */
export function restoreMissingTargets(
  state: FeedState,
  listing: TargetListing,
  records: readonly GroupRecord[],
  now: number,
): FeedState {
  const invalidNames = new Set(listing.invalidEntries.map(({ name }) => name));
  const isMissing = ({ target }: ListedTarget) =>
    !state.targets.has(target.name) && !invalidNames.has(target.name) && target.isLeaving !== true;
  const restored = records
    .flatMap(({ group, targets }) => targets.map((target) => ({ group, target })))
    .filter((entry) => isMissing(entry) && !isAddressReused(entry, listing.targets));
  if (restored.length === 0) return state;
  const targets = new Map(state.targets);
  for (const entry of restored) targets.set(entry.target.name, entry);
  return { ...state, targets, graceEndsAt: Math.max(state.graceEndsAt, now + missingEntryGraceMs) };
}

function hasSameTargets(a: readonly AnnouncedTarget[], b: readonly AnnouncedTarget[]): boolean {
  return JSON.stringify(encodeGroupTargets(a)) === JSON.stringify(encodeGroupTargets(b));
}
