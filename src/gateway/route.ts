import type { Proxy } from "../leadership/index.js";
import { hashPair } from "../policy/index.js";
import type { GatewayPlan } from "./choose.js";

/** What decides which of a group's gateways a statement goes to. */
export interface RouteQuery {
  readonly group: string;
  readonly needsPrimary: boolean;
  /** Where the group's primary is, as far as this process knows. */
  readonly primaryDataCentre: string | undefined;
  /** This process and its place. */
  readonly vm: string;
  readonly dataCentre: string;
}

/**
 * A group's gateways in the order in which they are asked. What needs the primary goes to its data
 * centre: from elsewhere it would pass between data centres twice, and wait in a queue that does not know
 * of the others before the same slots. A read goes to this data centre; where that has no target, to one
 * with a replica, which one is drawn by this process's name so that all share the load.
 */
export function orderGateways(
  { byDataCentre }: GatewayPlan,
  question: RouteQuery,
): readonly Proxy[] {
  const places = [...byDataCentre.keys()];
  const ranked = places
    .map((place) => ({ place, rank: findRank(place, question) }))
    .sort((a, b) => a.rank - b.rank || drawPlace(a.place, question) - drawPlace(b.place, question));
  return ranked.flatMap(({ place }) => byDataCentre.get(place) ?? []);
}

function findRank(
  place: string,
  { needsPrimary, primaryDataCentre, dataCentre }: RouteQuery,
): number {
  if (needsPrimary && place === primaryDataCentre) return 0;
  if (place === dataCentre) return 1;
  return place === primaryDataCentre ? 3 : 2;
}

function drawPlace(place: string, { group, vm }: RouteQuery): number {
  return hashPair(`${group} ${place}`, vm);
}
