import type { SupersededWrite } from "./commands.js";
import type { ToldWrite } from "./operation.js";

/** The users' rules: what a node sent is not counted for this long after a disruption of the node, in milliseconds. */
export const thawSlackMs = 300;

/** What the check of writes at superseded primaries depends on. */
export interface SupersededCheck {
  readonly writes: readonly SupersededWrite[];
  readonly told: readonly ToldWrite[];
  /** Finds the names of the nodes whose logs name a statement. */
  readonly findNodes: (statement: string) => readonly string[];
  /** Whether a node was undisturbed at a time and shortly before, in milliseconds since the epoch. */
  readonly isUndisturbed: (node: string, at: number) => boolean;
}

/** Lists the acknowledged writes that a primary committed after another had been promoted, sent by undisturbed nodes. */
export function listSupersededBreaches({
  writes,
  told,
  findNodes,
  isUndisturbed,
}: SupersededCheck): readonly string[] {
  const acknowledged = new Set(told.flatMap(({ id, told: end }) => (end === "kept" ? [id] : [])));
  return writes.flatMap(({ id, member, at }) => {
    const isCounted = findNodes(id).every((node) => isUndisturbed(node, at));
    if (!acknowledged.has(id) || !isCounted) return [];
    return [`write ${id} was acknowledged and committed at ${member}, which had been superseded`];
  });
}
