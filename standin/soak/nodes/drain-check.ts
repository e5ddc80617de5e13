import type { LateArrival } from "./commands.js";

/** What the check of statements at leaving targets depends on. */
export interface DrainCheck {
  readonly arrivals: readonly LateArrival[];
  /** Finds the names of the nodes whose logs name a statement. */
  readonly findNodes: (statement: string) => readonly string[];
  /** Whether a node was in touch at a time, in milliseconds since the epoch. */
  readonly isInTouch: (node: string, at: number) => boolean;
}

/**
 * Lists the statements that reached a target after its drain timeout and were sent by nodes in touch. A statement that
 * no log names counts too.
 */
export function listDrainBreaches({
  arrivals,
  findNodes,
  isInTouch,
}: DrainCheck): readonly string[] {
  return arrivals.flatMap(({ statement, target, at, sinceMs, isStoreStable }) => {
    const nodes = findNodes(statement);
    if (!isStoreStable || !nodes.every((node) => isInTouch(node, at))) return [];
    const senders = nodes.length === 0 ? "no log" : nodes.join(", ");
    return [
      `statement ${statement} reached ${target} ${Math.round(sinceMs)} ms after its leaving was accepted (${senders})`,
    ];
  });
}
