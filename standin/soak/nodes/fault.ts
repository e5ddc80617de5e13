import type { BackendCommand } from "./commands.js";
import type { CutDirection, Disturbance } from "./disturbance.js";
import type { Burst, CallerShift } from "./load.js";

/** A fault of the nodes' processes or of the machine. Nodes are indexes; times are in milliseconds. */
export type NodeFault =
  | { readonly type: "killNodes"; readonly nodes: readonly number[]; readonly downMs: number }
  | { readonly type: "losePower"; readonly nodes: readonly number[]; readonly downMs: number }
  /** The node whose write to the store was the last to take effect is killed. */
  | { readonly type: "killWriter"; readonly downMs: number }
  /** For a while each node is killed as soon as it holds the lease on changes of primary. */
  | { readonly type: "killHolders"; readonly forMs: number; readonly downMs: number }
  /** A configuration changes, and a node loses its power within some milliseconds. */
  | { readonly type: "losePowerAfterChange"; readonly node: number; readonly downMs: number }
  /** A machine is gone for good, and another one with other addresses takes its place. */
  | { readonly type: "replaceNode"; readonly node: number; readonly afterMs: number }
  | {
      readonly type: "restartNodes";
      readonly nodes: readonly number[];
      readonly gapMs: number;
      readonly downMs: number;
    }
  | { readonly type: "freezeNodes"; readonly nodes: readonly number[]; readonly forMs: number }
  | { readonly type: "reloadNodes" }
  /** Nodes are killed, and a primary crashes a moment later. */
  | {
      readonly type: "killNodesAndPrimary";
      readonly nodes: readonly number[];
      readonly group: number;
      readonly forMs: number;
    }
  /** Nodes are cut off from the others, or from the store and the targets as well. */
  | {
      readonly type: "cutNodes";
      readonly nodes: readonly number[];
      readonly from: "nodes" | "all";
      readonly direction: CutDirection;
      readonly forMs: number;
    }
  /** Nodes are cut off from the primary of a group. */
  | {
      readonly type: "cutFromPrimary";
      readonly nodes: readonly number[];
      readonly group: number;
      readonly direction: CutDirection;
      readonly forMs: number;
    }
  /** Nodes disturb their own connections or clocks. */
  | {
      readonly type: "disturbNodes";
      readonly nodes: readonly number[];
      readonly disturbance: Disturbance;
    }
  /** A share of the callers of a zone come to another one. */
  | ({ readonly type: "shiftCallers" } & CallerShift)
  /** Other processes compete for the processor. */
  | { readonly type: "busyProcessor"; readonly processes: number; readonly forMs: number }
  /** The links between two regions are silent. */
  | Extract<BackendCommand, { readonly type: "cutRegions" }>
  /** One kind of operation is asked for more often. */
  | ({ readonly type: "burstKind" } & Burst)
  /** A fault of the store or the targets, which ends by itself. */
  | { readonly type: "backend"; readonly command: BackendCommand };

/** A fault and when it starts, in milliseconds since traffic started. */
export interface TimedFault {
  readonly atMs: number;
  readonly fault: NodeFault;
}

/** Formats a planned fault for the trace. */
export function describeTimedFault({ atMs, fault }: TimedFault): string {
  return `${(atMs / 1000).toFixed(2)} s: ${JSON.stringify(fault)}`;
}
