import type { TargetPoolOptions } from "../capacity/index.js";
import type { ConnectionShare } from "./share.js";

/** Opening takes about 12 ms and one of the target's slots; after this time the target is unreachable. */
const openTimeoutMs = 400;
/** The first pause after a connection could not be opened: about the time of two attempts. */
const firstBackoffMs = 50;
/**
 * The longest such pause. With the usual 5 s, a proxy that was partitioned from a replica would refuse
 * statements for seconds after the partition has healed and the replica has become the primary.
 */
const longestBackoffMs = 400;
/** A connection that does not answer a check in this time counts as lost; a round trip takes 1 to 3 ms. */
export const checkTimeoutMs = 150;
/** Connections that have been idle for longer are checked before use, since they may be dead. */
const checkAfterIdleMs = 5000;
/** The interval of the pool's checks; the usual 50 ms would keep waking an idle process. */
const poolCheckIntervalMs = 200;
/** A connection without progress for longer is closed. Statements normally time out before. */
const progressTimeoutMs = 10_000;
/** Once a statement has waited this long, the pool grows beyond its base: several times a usual run time. */
const growAfterMs = 60;
/** How long a target may count the connections of processes that lost power, plus a margin. */
const staleConnectionMs = 4000;
/** An idle connection beyond the base is closed after this time, as other proxies may need it. */
const surplusIdleMs = 1000;

/** Creates the options of the pool of connections to one target. */
export function createPoolOptions({ base, max }: ConnectionShare, now: number): TargetPoolOptions {
  return {
    tickMs: poolCheckIntervalMs,
    settings: {
      // The base may be opened immediately.
      limit: base + max,
      maxShare: max,
      growAfterMs,
      growNotBefore: now + staleConnectionMs,
      idleTimeoutMs: surplusIdleMs,
      controlReserve: 0,
      openTimeoutMs,
      firstBackoffMs,
      longestBackoffMs,
      checkTimeoutMs,
      checkAfterIdleMs,
      progressTimeoutMs,
      minIdle: base,
    },
  };
}
