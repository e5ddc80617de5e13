import type { Logger } from "../log/index.js";
import type { Address, Clock, Random } from "../model/index.js";
import type { NodeAdapter } from "./ports.js";
import type { NodeSettings } from "./settings.js";

/** The settings and dependencies of a node. */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly adapter: NodeAdapter;
  readonly clock: Clock;
  readonly random: Random;
  /** The wall clock, in milliseconds, to compare with the monotonic clock. */
  readonly wallClock: () => number;
  readonly logger: Logger;
  /** Distinguishes this process from earlier ones on the same VM. */
  readonly incarnation: string;
  /** Where metrics are served in addition to the readiness address. */
  readonly metrics?: Address;
}
