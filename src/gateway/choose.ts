import type { AnnouncedGroup } from "../direct/index.js";
import type { Proxy } from "../leadership/index.js";
import { hashPair } from "../policy/index.js";

/** The proxies that hold a group's connections, by data centre, each with the one to ask first in front. */
export interface GatewayPlan {
  /** Each listed proxy holds connections of its own: nothing need be forwarded. */
  readonly isEveryProxyGateway: boolean;
  readonly byDataCentre: ReadonlyMap<string, readonly Proxy[]>;
}

/**
 * Gateways of a group in each data centre that has a target of it: one that serves, and one that takes
 * over without a listing read anew. More would split a target's few slots between queues that don't know
 * of each other.
 */
export const gatewaysPerDataCentre = 2;
/**
 * Connections of one proxy to a target from which on nobody need forward statements, counted so that the
 * connections of the processes before fit beside them for the seconds that a target counts them on.
 */
const leastConnections = 1;
/** With two in each of four data centres, most of so few would be chosen; each then serves its own callers. */
const smallFleet = 12;
/** The weight of a proxy that does not say what it may spend: about a third of a core. */
const leastPower = 0.3;
/** What an entry says beyond this counts as this: no proxy takes all groups of 20. In cores. */
const mostPower = 2;

/**
 * Chooses a group's gateways by weighted rendezvous hashing: a proxy that comes or goes moves only the
 * groups that it wins or held, and one with twice the processor gets four times the groups. A target takes a
 * few dozen connections: of a fleet that opens one each, most are refused.
 */
export function chooseGateways(
  { name, connections, targets }: Pick<AnnouncedGroup, "name" | "connections" | "targets">,
  proxies: readonly Proxy[],
): GatewayPlan {
  const fit = proxies.filter((proxy) => proxy.gateway !== undefined && proxy.isMissed !== true);
  const isEveryProxyGateway = fit.length <= smallFleet || connections >= 2 * leastConnections * fit.length;
  const places = new Set(targets.map((target) => target.dataCentre));
  const near = fit.filter(({ dataCentre }) => places.has(dataCentre ?? ""));
  // With nobody left beside the targets, some from elsewhere are better than none.
  const pool = near.length > 0 ? near : fit;
  const byDataCentre = new Map<string, readonly Proxy[]>();
  for (const place of [...new Set(pool.map((proxy) => proxy.dataCentre ?? ""))].sort()) {
    const inPlace = pool.filter((proxy) => (proxy.dataCentre ?? "") === place);
    byDataCentre.set(place, orderByScore(name, inPlace).slice(0, gatewaysPerDataCentre));
  }
  return { isEveryProxyGateway, byDataCentre };
}

/** Whether a proxy holds a group's connections. */
export function isGateway(plan: GatewayPlan, vm: string): boolean {
  return plan.isEveryProxyGateway || listGateways(plan).some((proxy) => proxy.vm === vm);
}

/** All gateways of a plan. */
export function listGateways({ byDataCentre }: GatewayPlan): readonly Proxy[] {
  return [...byDataCentre.values()].flat();
}

function orderByScore(group: string, proxies: readonly Proxy[]): readonly Proxy[] {
  return proxies
    .map((proxy) => ({ proxy, score: measureProxy(group, proxy) }))
    .sort((a, b) => b.score - a.score || (a.proxy.vm < b.proxy.vm ? -1 : 1))
    .map(({ proxy }) => proxy);
}

/**
 * The weighted score: each proxy wins a share of all groups that is as its weight to that of all. The weight
 * is the square of its power: a process that is busy for a third of its time makes each statement wait, one
 * that is four times as fast is left nearly idle by the same work.
 */
function measureProxy(group: string, { vm, power }: Proxy): number {
  const drawn = (hashPair(group, vm) + 1) / (hashRange + 1);
  return limitPower(power) ** 2 / -Math.log(drawn);
}

/** Hashes are below this, plus one so that none is drawn as 1. */
const hashRange = 2 ** 32;

function limitPower(power: number | undefined): number {
  if (power === undefined || !Number.isFinite(power)) return leastPower;
  return Math.max(leastPower, Math.min(mostPower, power));
}
