import type { Address } from "../model/index.js";
import type { RateBounds } from "../rates/index.js";

/** What one node of direct serving is told of its place. Times in milliseconds. */
export interface NodeSettings {
  readonly vm: string;
  readonly dataCentre: string;
  readonly callers: Address;
  /** Where the balancer asks whether to send callers here. */
  readonly readiness: Address;
  /** Where other proxies reach this one; without it this one takes no part in changes of primary. */
  readonly peers: Address | undefined;
  /** Where other nodes' statements are taken; without it this node serves its own callers alone. */
  readonly gateway: Address | undefined;
  /** The processor that this node may use, in cores. */
  readonly power: number;
  /** Data centres of the deployment. */
  readonly dataCentres: number;
  /** Peer addresses of some other proxies, for a start without the store; they may be stale. */
  readonly seeds: readonly Address[];
  readonly store: Address;
  /** Where the order to promote goes. */
  readonly promotionAddress: Address;
  /** From the signal to end until the process is killed. */
  readonly graceMs: number;
  /** How long a leaving target may still get work. */
  readonly targetDrainMs: number;
  /** A configuration must be in force everywhere this long after it was accepted. */
  readonly configurationApplyMs: number;
  /** How strictly teams' rates are judged. */
  readonly rateBounds: RateBounds;
  /** Reads that the store takes from all proxies together. */
  readonly storeReadsPerSecond: number;
}
