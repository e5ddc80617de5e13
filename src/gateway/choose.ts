import type { AnnouncedGroup } from "../direct/index.js";
import { isValidCapacity, type Proxy } from "../leadership/index.js";
import { hashPair } from "../policy/index.js";

/** The proxies that hold connections to a group's targets. */
export interface GatewayPlan {
  /** Whether each listed proxy holds connections of its own, so that no statement is forwarded. */
  readonly isEveryProxyGateway: boolean;
  /** The gateways of each data centre, the preferred one first. */
  readonly byDataCentre: ReadonlyMap<string, readonly Proxy[]>;
}

/**
 * The number of a group's gateways in each data centre that has one of its targets: one that serves, and one
 * that takes over without a new read of the list of proxies. More gateways would split a target's few slots
 * between queues that don't know of each other.
 */
export const gatewaysPerDataCentre = 2;
/**
 * When each proxy can open this many connections to each target, no statement is forwarded, unless slots are
 * planned. The target's limit must hold them twice: for some seconds after a restart a target still counts the
 * connections of the previous processes.
 */
const minConnectionsPerProxy = 1;
/**
 * In a fleet of at most this many proxies each serves its own callers: with two gateways in each of four data
 * centres most of them would be gateways anyway.
 */
const smallFleetSize = 12;
/** Processor power of a proxy whose entry does not state it, and the minimum for all, in cores. */
const minPower = 0.3;
/**
 * With a slower link the weight falls in proportion where slots are planned, in Mbit/s. The slowest links of the
 * fleets that this answers have 7, and the groups' statements with their results need more at peaks.
 */
const neededLinkMbps = 20;
/**
 * Descriptors that a gateway needs beside those of its connections to a group's targets: for other nodes,
 * callers, the store and its own files.
 */
const reservedDescriptors = 512;
/** Higher values in an entry count as this, so that no proxy wins all groups among 20 proxies. In cores. */
const maxPower = 2;

/**
 * Chooses a group's gateways by weighted rendezvous hashing. A proxy that joins or leaves moves only the groups
 * that it wins or held, and one with twice the processor power gets four times the groups. Gateways are needed
 * because a target accepts only a few dozen connections: if each proxy of a large fleet opened one, most would
 * be refused. Where slots are planned, a large fleet has chosen gateways even if connections suffice for all:
 * dozens of proxies would admit to a target of a few slots without knowing of each other. There the links and
 * descriptors of the proxies count as well.
 */
export function chooseGateways(
  group: Pick<AnnouncedGroup, "name" | "connections" | "targets">,
  proxies: readonly Proxy[],
  isSlotPlanned = false,
): GatewayPlan {
  const { name, connections, targets } = group;
  const eligible = proxies.filter(
    (proxy) => proxy.gateway !== undefined && proxy.isMissed !== true,
  );
  const hasConnectionsForAll = connections >= 2 * minConnectionsPerProxy * eligible.length;
  const isEveryProxyGateway =
    eligible.length <= smallFleetSize || (hasConnectionsForAll && !isSlotPlanned);
  const targetDataCentres = new Set(targets.map((target) => target.dataCentre));
  const near = eligible.filter(({ dataCentre }) => targetDataCentres.has(dataCentre ?? ""));
  // When no proxy is left in the targets' data centres, gateways elsewhere are better than none.
  const pool = near.length > 0 ? near : eligible;
  const byDataCentre = new Map<string, readonly Proxy[]>();
  for (const centre of [...new Set(pool.map((proxy) => proxy.dataCentre ?? ""))].sort()) {
    const local = pool.filter((proxy) => (proxy.dataCentre ?? "") === centre);
    const ordered = isSlotPlanned ? orderByCapacity(group, local) : orderByPower(name, local);
    byDataCentre.set(centre, ordered.slice(0, gatewaysPerDataCentre));
  }
  return { isEveryProxyGateway, byDataCentre };
}

/** Whether a proxy holds connections to the group's targets. */
export function isGateway(plan: GatewayPlan, vm: string): boolean {
  return plan.isEveryProxyGateway || listGateways(plan).some((proxy) => proxy.vm === vm);
}

/** The gateways of all data centres. */
export function listGateways({ byDataCentre }: GatewayPlan): readonly Proxy[] {
  return [...byDataCentre.values()].flat();
}

function orderByPower(group: string, proxies: readonly Proxy[]): readonly Proxy[] {
  return orderByScore(group, proxies, ({ power }) => clampPower(power) ** 2);
}

/**
 * Orders by power and link. Proxies whose descriptors do not suffice come last: they are gateways only while
 * the data centre has too few others. Each proxy's place depends on its own entry alone, so that one that
 * joins or leaves does not move the others.
 */
function orderByCapacity(
  { name, connections, targets }: Pick<AnnouncedGroup, "name" | "connections" | "targets">,
  proxies: readonly Proxy[],
): readonly Proxy[] {
  const needed = connections * targets.length + reservedDescriptors;
  const ordered = orderByScore(name, proxies, weighProxy);
  return [
    ...ordered.filter((proxy) => canHold(proxy, needed)),
    ...ordered.filter((proxy) => !canHold(proxy, needed)),
  ];
}

/** The weight of a proxy by its power and its link; parts that are absent or absurd do not count. */
function weighProxy({ power, linkMbps }: Proxy): number {
  const credible = isValidCapacity("power", power) ? power : undefined;
  const link = isValidCapacity("linkMbps", linkMbps) ? linkMbps : neededLinkMbps;
  return clampPower(credible) ** 2 * Math.min(1, link / neededLinkMbps);
}

function canHold({ descriptors }: Proxy, needed: number): boolean {
  return !isValidCapacity("descriptors", descriptors) || descriptors >= needed;
}

function orderByScore(
  group: string,
  proxies: readonly Proxy[],
  weigh: (proxy: Proxy) => number,
): readonly Proxy[] {
  return proxies
    .map((proxy) => ({ proxy, score: scoreProxy(group, proxy, weigh(proxy)) }))
    .sort((a, b) => b.score - a.score || (a.proxy.vm < b.proxy.vm ? -1 : 1))
    .map(({ proxy }) => proxy);
}

/**
 * The score of weighted rendezvous hashing: each proxy wins a share of all groups in proportion to its weight.
 * The weight grows with the square of its power: a process that is busy a third of the time makes each
 * statement wait, while the same work leaves a process that is four times as fast nearly idle.
 */
function scoreProxy(group: string, { vm }: Proxy, weight: number): number {
  const uniform = (hashPair(group, vm) + 1) / (hashRange + 1);
  return weight / -Math.log(uniform);
}

/**
 * Hashes are below this. One is added to the hash and to the range, so that the fraction is neither 0 nor 1.
 */
const hashRange = 2 ** 32;

function clampPower(power: number | undefined): number {
  if (power === undefined || !Number.isFinite(power)) return minPower;
  return Math.max(minPower, Math.min(maxPower, power));
}
