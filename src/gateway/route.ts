import type { Proxy } from "../leadership/index.js";
import { hashPair } from "../policy/index.js";
import type { Distance, Topology } from "../topology/index.js";
import type { GatewayPlan } from "./choose.js";

/** What the order of a group's gateways for a statement depends on. */
export interface RouteQuery {
  readonly group: string;
  readonly needsPrimary: boolean;
  /** The data centre of the group's primary; undefined when this process does not know it. */
  readonly primaryDataCentre: string | undefined;
  /** This process and its data centre. */
  readonly vm: string;
  readonly dataCentre: string;
  readonly topology: Topology;
}

/**
 * A group's gateways, the preferred one first. A statement that needs the primary goes to the primary's data
 * centre: through a gateway elsewhere it would cross between data centres twice, and wait in a queue that does
 * not know of the other queues for the same slots. A read goes to this data centre or, when that has no
 * target, to one with a replica; the hash of this process's name picks which, to distribute the load. Where
 * there are regions, both stay within one as far as they can.
 */
export function orderGateways({ byDataCentre }: GatewayPlan, query: RouteQuery): readonly Proxy[] {
  const dataCentres = [...byDataCentre.keys()];
  const ranked = dataCentres
    .map((centre) => ({ centre, rank: rankDataCentre(centre, query) }))
    .sort(
      (a, b) =>
        a.rank - b.rank || hashDataCentre(a.centre, query) - hashDataCentre(b.centre, query),
    );
  return ranked.flatMap(({ centre }) => byDataCentre.get(centre) ?? []);
}

/** The rank of a gateway for a statement; those of the same rank may stand for each other. */
export function rankGateway({ dataCentre }: Pick<Proxy, "dataCentre">, query: RouteQuery): number {
  return rankDataCentre(dataCentre ?? "", query);
}

/**
 * Ranks a data centre so that a statement crosses between regions at most once: a read stays in this region
 * while that has a gateway, and a statement that needs the primary goes to the primary's region.
 */
function rankDataCentre(centre: string, query: RouteQuery): number {
  const { needsPrimary, primaryDataCentre, dataCentre, topology } = query;
  const fromHere = topology.measureDistance(dataCentre, centre);
  if (!needsPrimary || primaryDataCentre === undefined) {
    return rankForRead(fromHere, centre === primaryDataCentre);
  }
  switch (topology.measureDistance(primaryDataCentre, centre)) {
    case "dataCentre":
      return 0;
    case "region":
      return fromHere === "dataCentre" ? 1 : 2;
    case "remote":
      return 3 + rankForRead(fromHere, false);
  }
}

/** Within a region, reads leave the gateways of the primary's data centre to statements that need the primary. */
function rankForRead(fromHere: Distance, hasPrimary: boolean): number {
  switch (fromHere) {
    case "dataCentre":
      return 0;
    case "region":
      return hasPrimary ? 2 : 1;
    case "remote":
      return hasPrimary ? 4 : 3;
  }
}

function hashDataCentre(centre: string, { group, vm }: RouteQuery): number {
  return hashPair(`${group} ${centre}`, vm);
}
