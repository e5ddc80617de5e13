import type { Proxy } from "../leadership/index.js";
import { compareDistance, type Topology } from "../topology/index.js";
import type { GatewayPlan } from "./choose.js";

/**
 * The order in which a group's gateways use the slots of the targets in a data centre: the first one that is
 * not lost has all of them. The gateways of that data centre come first, then those of its region. All nodes
 * compute the same order, whatever their own data centre.
 */
export function orderSlotGateways(
  { byDataCentre }: GatewayPlan,
  dataCentre: string,
  topology: Topology,
): readonly Proxy[] {
  const measure = (centre: string) => topology.measureDistance(dataCentre, centre);
  return [...byDataCentre.keys()]
    .sort((a, b) => compareDistance(measure(a), measure(b)) || (a < b ? -1 : 1))
    .flatMap((centre) => byDataCentre.get(centre) ?? []);
}

/**
 * The gateways whose loss this one has to notice to take over in time: the one before it, and while that one
 * is lost also the one before that. Gateways of another region are left out, since their targets can't be
 * reached either when that region is lost.
 */
export function listWatchedGateways(
  order: readonly Proxy[],
  own: Pick<Proxy, "vm" | "dataCentre">,
  topology: Topology,
  isLost: (vm: string) => boolean,
): readonly Proxy[] {
  const before = order.slice(
    0,
    Math.max(
      0,
      order.findIndex(({ vm }) => vm === own.vm),
    ),
  );
  const near = before.filter(
    ({ dataCentre }) =>
      topology.measureDistance(own.dataCentre ?? "", dataCentre ?? "") !== "remote",
  );
  const lastAlive = near.findLastIndex(({ vm }) => !isLost(vm));
  return near.slice(Math.max(0, lastAlive));
}
