import type { InvalidCapacity } from "../leadership/index.js";
import type { Address } from "../model/index.js";
import type { RateBounds } from "../rates/index.js";
import type { Topology } from "../topology/index.js";

/** The settings of one directly serving node. Times are in milliseconds. */
export interface NodeSettings {
  readonly vm: string;
  readonly dataCentre: string;
  /** Where callers connect. */
  readonly callers: Address;
  /** Where the load balancer asks whether to send callers here. */
  readonly readiness: Address;
  /** Where other proxies reach this one; when undefined, it takes no part in changes of primary. */
  readonly peers: Address | undefined;
  /** Where other nodes forward statements to; when undefined, this node serves only its own callers. */
  readonly gateway: Address | undefined;
  /** The processor capacity that this node may use, in cores. */
  readonly power: number;
  /** The bandwidth of its link, in Mbit/s; absent where the settings do not say. */
  readonly linkMbps?: number;
  /** The file descriptors that it may use; absent where the settings do not say. */
  readonly descriptors?: number;
  /** Stated values of the two that are invalid, and so absent. */
  readonly invalidCapacities?: readonly InvalidCapacity[];
  /** The number of data centres of the deployment. */
  readonly dataCentres: number;
  /** The region of each data centre. */
  readonly topology: Topology;
  /** Peer addresses of some other proxies, for a start while the store is unavailable; may be stale. */
  readonly seeds: readonly Address[];
  readonly store: Address;
  /** The service that promotes targets. */
  readonly promotionAddress: Address;
  /** From the termination signal until the process is killed. */
  readonly graceMs: number;
  /** How long a leaving target may still be sent statements. */
  readonly targetDrainMs: number;
  /** Time within which every proxy must apply an accepted configuration. */
  readonly configurationApplyMs: number;
  /** Tolerances within which the teams' rate limits must hold. */
  readonly rateBounds: RateBounds;
  /** Reads per second that the store accepts from all proxies together. */
  readonly storeReadsPerSecond: number;
}
