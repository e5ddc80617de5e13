import type { RandomStream } from "../random.js";
import type { BackendCommand } from "./commands.js";
import type { NodeFault } from "./fault.js";
import type { SoakSite } from "./site.js";

/** What a fault is drawn from, and what has been drawn for every fault. Times are in milliseconds. */
export interface FaultDraw {
  readonly random: RandomStream;
  readonly site: SoakSite;
  readonly forMs: number;
  readonly group: number;
}

/** Stands for one of the nodes where a share of them is asked for. */
export const oneNode = 1;
/** The share of the nodes that faults of several strike. */
export const thirdOfNodes = 1 / 3;
/** The share of the nodes that faults of most strike. */
export const mostNodes = 0.55;

/** Wraps a fault of the store or the targets. */
export function createBackendFault(command: BackendCommand): NodeFault {
  return { type: "backend", command };
}

/** Picks a share of the nodes, or one if the share is 1 or would be none. */
export function pickNodes(random: RandomStream, site: SoakSite, share: number): readonly number[] {
  const all = [...listNodes(site)];
  const count = share === oneNode ? 1 : Math.max(1, Math.round(all.length * share));
  return Array.from({ length: Math.min(count, all.length) }, () =>
    all.splice(random.nextInteger(0, all.length - 1), 1),
  ).flat();
}

/** The indexes of all nodes. */
export function listNodes(site: SoakSite): readonly number[] {
  const count = site.nodesPerZone.reduce((sum, nodes) => sum + nodes, 0);
  return Array.from({ length: count }, (_, index) => index);
}
