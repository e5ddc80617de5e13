/** Which bytes a cut holds back, as the node sees it. */
export type CutDirection = "in" | "out" | "both";

/** What a node is told to do to its own connections or clock. Times are in milliseconds. */
export type Disturbance =
  /** Bytes to and from these ports stop; they pass afterwards. Connections accepted at a port count as its own. */
  | {
      readonly type: "holdLinks";
      readonly ports: readonly number[];
      readonly direction: CutDirection;
      readonly forMs: number;
    }
  /** A share of what is sent and received arrives only when TCP repeats it, and all behind it on its connection. */
  | { readonly type: "loseLinks"; readonly share: number; readonly forMs: number }
  /** A share of the connections is reset. */
  | { readonly type: "resetLinks"; readonly share: number }
  /** A share of the connections is silent for good, while new ones work. */
  | { readonly type: "stallLinks"; readonly share: number }
  /** The time of day jumps and jumps back; the monotonic clock goes on. */
  | { readonly type: "stepClock"; readonly ms: number; readonly forMs: number };
