import { assumedCrossingMs, type Topology } from "../topology/index.js";

/**
 * A node that has not been confirmed for this long reports that it is not ready, in milliseconds. Two polls
 * and the requests to peers have failed by then. The balancer stops sending callers only after two more answers,
 * and callers are refused in the meantime, so the node doesn't wait until its permit expires.
 */
const maxUnconfirmedMs = 1300;
/**
 * A reader's poll older than this, in milliseconds, is not used. The reader polls every 0.7 s with a tenth
 * of jitter, so an older one means that a poll of its own has failed or hangs.
 */
const maxPollAgeMs = 900;
/**
 * Added where the store may be in another region, in milliseconds. The last poll has the age of two answers, its own
 * and that of the next one, when it is replaced.
 */
const regionExtraMs = 2 * assumedCrossingMs;

/** The longest time without a confirmation in which a node reports that it is ready, in milliseconds. */
export function findMaxUnconfirmedMs({ hasRegions }: Topology): number {
  return hasRegions ? maxUnconfirmedMs + regionExtraMs : maxUnconfirmedMs;
}

/** The greatest age of a reader's poll that is used, in milliseconds. */
export function findMaxPollAgeMs({ hasRegions }: Topology): number {
  return hasRegions ? maxPollAgeMs + regionExtraMs : maxPollAgeMs;
}
