import type { Proxy } from "../../src/proxy/index.js";
import type { Fleet } from "../fleet.js";
import type { Counts } from "./counts.js";
import type { Breach, Ledger } from "./ledger.js";
import type { Trace } from "./trace.js";

/** The state that the parts of a soak run share. */
export interface SoakContext {
  readonly fleet: Fleet;
  readonly ledger: Ledger;
  readonly trace: Trace;
  readonly counts: Counts;
  /** Proxies that are draining or have drained, without those that were killed. */
  readonly drained: Set<Proxy>;
  /** Records a breach; its subjects select the lines of the trace that are printed, `check` by default. */
  readonly reportBreach: (description: string, subjects?: Breach["subjects"]) => void;
}
