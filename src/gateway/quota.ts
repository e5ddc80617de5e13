import type { AnnouncedGroup } from "../direct/index.js";

/** Connections of each target that are kept free for changes of primary and for proxies that join. */
const spareConnections = 1;
/** So that a data centre still has a listed proxy after the loss of one. */
const minQuota = 2;

/**
 * How many proxies of one data centre may be listed, that is, may hold connections and use primaries. The
 * listed proxies of all data centres can each open one connection to any target while the target still counts
 * those of their previous processes, as it does for some seconds after a loss of power. So a target's limit
 * holds even when proxies disagree on which of them are a group's gateways. All other proxies need no entry
 * in the store, and no change of primary waits for them.
 */
export function countListedProxyQuota(
  groups: Iterable<Pick<AnnouncedGroup, "connections">>,
  dataCentres: number,
): number {
  const limits = [...groups].map((group) => group.connections);
  if (limits.length === 0) return minQuota;
  const listedProxies = Math.floor((Math.min(...limits) - spareConnections) / 2);
  return Math.max(minQuota, Math.ceil(listedProxies / Math.max(1, dataCentres)));
}
