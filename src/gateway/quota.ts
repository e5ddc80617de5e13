import type { AnnouncedGroup } from "../direct/index.js";

/** Places of a target that no proxy plans with: changes of primary and newcomers use them. */
const spareConnections = 1;
/** A process that is lost is not the last of its data centre. */
const leastQuota = 2;

/**
 * How many proxies of one data centre may be listed, those that hold connections and may use primaries.
 * As many as could open one to any target beside those of their processes before, which a target counts
 * for seconds after a loss of power: whatever two proxies' views of who holds a group's connections, the
 * limit is kept. All others need no entry in the store, and no change of primary waits for them.
 */
export function countListedProxyQuota(
  groups: Iterable<Pick<AnnouncedGroup, "connections">>,
  dataCentres: number,
): number {
  const limits = [...groups].map((group) => group.connections);
  if (limits.length === 0) return leastQuota;
  const proxies = Math.floor((Math.min(...limits) - spareConnections) / 2);
  return Math.max(leastQuota, Math.ceil(proxies / Math.max(1, dataCentres)));
}
