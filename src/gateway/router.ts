import type {
  AnnouncedGroup,
  PrimaryState,
  RedirectDestinations,
  ShareRule,
} from "../direct/index.js";
import { buildEqualShare } from "../direct/index.js";
import type { Proxy } from "../leadership/index.js";
import { chooseGateways, isGateway, listGateways, type GatewayPlan } from "./choose.js";
import type { EntryLoads, EntryRefusal } from "./entry-loads.js";
import type { LoadCandidate } from "./load-choice.js";
import { orderGateways, rankGateway, type RouteQuery } from "./route.js";
import { listWatchedGateways, orderSlotGateways } from "./slot-order.js";
import { assumedCrossingMs, type Topology } from "../topology/index.js";

/** Where a statement may run: over this process's own connections, or at a gateway. */
export type Destination =
  | { readonly type: "local" }
  | {
      readonly type: "gateway";
      readonly gateway: Proxy;
      /** Whether it comes before the group's preferred gateway, which is slower or has a longer queue. */
      readonly isMoved?: boolean;
    };

/** What a statement's destinations depend on. */
export interface DestinationQuery {
  readonly needsPrimary: boolean;
  /** Only gateways in other regions than that data centre, unless there is none. */
  readonly leftDataCentre?: string | undefined;
  /** Whether slow gateways leave part of such reads to others. */
  readonly isDivided?: boolean;
  /** The statement's level of importance. */
  readonly level?: number | undefined;
}

/** Lists a statement's destinations. */
export interface DestinationSource {
  readonly listDestinations: () => readonly Destination[];
  /** Why the statement is refused without being sent; undefined where it is to be sent. */
  readonly findRefusal: (destinations: readonly Destination[]) => EntryRefusal | undefined;
  /** Called when no destination accepted the statement. */
  readonly onNoneAccepted: () => void;
}

/** The environment of a `GatewayRouter`. */
export interface RouterPorts {
  readonly vm: string;
  readonly dataCentre: string;
  readonly topology: Topology;
  /** The listed proxies; a changed list must be a new object. */
  readonly listProxies: () => readonly Proxy[];
  readonly findGroup: (group: string) => AnnouncedGroup | undefined;
  /** The primary of a group as far as this process knows, even while it may not use primaries. */
  readonly findLeader: (group: string) => PrimaryState;
  /** Whether this process is listed and so may hold connections. */
  readonly isListed: () => boolean;
  /** Whether other gateways are preferred to this one, because it failed recently or can't serve now. */
  readonly isAvoided: (vm: string) => boolean;
  /** Whether a gateway is lost, so that the next one uses its slots. Absent: if it is avoided. */
  readonly isLost?: (vm: string) => boolean;
  /** Whether one gateway plans the slots of a target for the whole fleet. Absent: false. */
  readonly isSlotPlanned?: () => boolean;
  /** Decides by the gateways' load reports. Absent: these play no part. */
  readonly loads?: Pick<EntryLoads, "isActive" | "order" | "findRefusal">;
  /** Divides the reads of a group between its usable gateways, given in order. Absent: the order stays. */
  readonly orderReads?: (group: string, gateways: readonly Proxy[]) => readonly Proxy[];
  /** Called when none of the gateways that this process knows accepted a statement. */
  readonly onNoneAccepted: () => void;
}

/** The most destinations of one statement, which are tried one after the other. */
const maxDestinations = 3;
const emptyPlan: GatewayPlan = { isEveryProxyGateway: false, byDataCentre: new Map() };

interface CachedPlan {
  readonly proxies: readonly Proxy[];
  readonly group: AnnouncedGroup;
  readonly isSlotPlanned: boolean;
  readonly plan: GatewayPlan;
}

/** Decides which proxies run a group's statements, from the list of proxies. */
export class GatewayRouter {
  private readonly plans = new Map<string, CachedPlan>();

  constructor(private readonly ports: RouterPorts) {}

  /**
   * A statement's destinations, the preferred one first; empty when no proxy is listed. With `leftDataCentre`
   * only those in other regions than that data centre, unless there is none. With `isDivided` a part of the
   * statements that stay near goes to the second gateway first.
   */
  listDestinations(
    group: string,
    needsPrimary: boolean,
    leftDataCentre?: string,
    isDivided = false,
  ): readonly Destination[] {
    const { vm, isAvoided } = this.ports;
    const plan = this.findPlan(group);
    const canServe = this.ports.isListed() && !isAvoided(vm);
    if (plan.isEveryProxyGateway && canServe) return [localDestination];
    const all = orderGateways(plan, this.createQuery(group, needsPrimary));
    const remote = all.filter((proxy) => this.isRemote(leftDataCentre, proxy));
    const ordered = remote.length > 0 ? remote : all;
    const usable = ordered.filter((proxy) => !isAvoided(proxy.vm));
    const isNearRead = isDivided && !needsPrimary && leftDataCentre === undefined;
    const preferred = isNearRead ? (this.ports.orderReads?.(group, usable) ?? usable) : usable;
    const avoided = ordered.filter((proxy) => isAvoided(proxy.vm));
    const isMoved = preferred[0] !== usable[0];
    const destinations = [...preferred, ...avoided]
      .slice(0, maxDestinations)
      .map((gateway, place) => this.toDestination(gateway, isMoved && place === 0));
    // Without any gateway a listed process runs the statement over a connection opened for it.
    return destinations.length === 0 && this.ports.isListed() ? [localDestination] : destinations;
  }

  /**
   * The destinations of one statement, computed again for each round of attempts. `level` is the statement's, by
   * which the load of its gateways decides.
   */
  createDestinationSource(
    group: string,
    { needsPrimary, leftDataCentre, isDivided, level }: DestinationQuery,
  ): DestinationSource {
    const { onNoneAccepted, loads } = this.ports;
    const list = () => this.listDestinations(group, needsPrimary, leftDataCentre, isDivided);
    if (loads?.isActive !== true)
      return { listDestinations: list, findRefusal: () => undefined, onNoneAccepted };
    const statement = { group, role: needsPrimary ? "primary" : "replica", level } as const;
    const describe = (destination: Destination) =>
      this.describeDestination(destination, this.createQuery(group, needsPrimary));
    return {
      listDestinations: () => {
        const destinations = list();
        return markMoved(destinations[0], loads.order(statement, destinations, describe));
      },
      findRefusal: (destinations) => loads.findRefusal(statement, destinations.map(describe)),
      onNoneAccepted,
    };
  }

  /**
   * Whether a read that needs the primary is better run by another process: the first usable gateway of the
   * primary's data centre. False where the primary's data centre is unknown or has no usable gateway.
   */
  canRedirect(group: string): boolean {
    return this.findPrimaryGateway(group) !== undefined;
  }

  /** The first usable gateway of the primary's data centre; undefined if there is none or it is this process. */
  findPrimaryGateway(group: string): Proxy | undefined {
    const plan = this.findPlan(group);
    const centre = this.findPrimaryDataCentre(group);
    if (plan.isEveryProxyGateway || centre === undefined) return undefined;
    const gateways = plan.byDataCentre.get(centre) ?? [];
    const first = gateways.find(({ vm }) => !this.ports.isAvoided(vm));
    return first?.vm === this.ports.vm ? undefined : first;
  }

  /** The processes that may run a read of a group instead of this one. */
  findRedirectDestinations(group: string): RedirectDestinations {
    return {
      hasPrimaryGateway: () => this.canRedirect(group),
      hasRemoteGateway: () => this.hasRemoteGateway(group),
    };
  }

  /** Whether a usable gateway of the group is in another region than this process. */
  hasRemoteGateway(group: string): boolean {
    const { dataCentre, isAvoided } = this.ports;
    const plan = this.findPlan(group);
    if (plan.isEveryProxyGateway) return false;
    return listGateways(plan).some(
      (proxy) => this.isRemote(dataCentre, proxy) && !isAvoided(proxy.vm),
    );
  }

  /** The proxies that hold connections to a group's targets. */
  listGroupGateways(group: string): readonly Proxy[] {
    const plan = this.findPlan(group);
    return plan.isEveryProxyGateway ? this.ports.listProxies() : listGateways(plan);
  }

  /** Whether this process holds connections to a group's targets. */
  isGateway(group: string): boolean {
    return this.ports.isListed() && isGateway(this.findPlan(group), this.ports.vm);
  }

  /** This process's part of the connections to a group's targets in one data centre. */
  findHolding(group: string, dataCentre: string): ShareRule {
    if (!this.isGateway(group)) return { type: "none" };
    const plan = this.findPlan(group);
    const gateways = this.listGroupGateways(group);
    if (plan.isEveryProxyGateway)
      return buildEqualShare(
        this.ports.vm,
        gateways.map(({ vm }) => vm),
      );
    const proxies = Math.max(1, gateways.length);
    const first = plan.byDataCentre.get(dataCentre)?.[0];
    const order = orderSlotGateways(plan, dataCentre, this.ports.topology);
    const acting = order.find(({ vm }) => !this.isLost(vm));
    const { vm } = this.ports;
    return { type: "chosen", proxies, isFirst: first?.vm === vm, isActing: acting?.vm === vm };
  }

  /** The gateways of a group whose loss this process must notice, to take over their slots. */
  listWatched(group: string): readonly Proxy[] {
    const plan = this.findPlan(group);
    if (plan.isEveryProxyGateway || !this.isGateway(group)) return [];
    const { vm, dataCentre, topology } = this.ports;
    const targets = this.ports.findGroup(group)?.targets ?? [];
    return [...new Set(targets.map((target) => target.dataCentre))].flatMap((centre) =>
      listWatchedGateways(
        orderSlotGateways(plan, centre, topology),
        { vm, dataCentre },
        topology,
        (name) => this.isLost(name),
      ),
    );
  }

  private isLost(vm: string): boolean {
    const { isLost, isAvoided } = this.ports;
    return isLost === undefined ? isAvoided(vm) : isLost(vm);
  }

  private isRemote(from: string | undefined, { dataCentre }: Pick<Proxy, "dataCentre">): boolean {
    if (from === undefined) return false;
    return this.ports.topology.measureDistance(from, dataCentre ?? "") === "remote";
  }

  private createQuery(group: string, needsPrimary: boolean): RouteQuery {
    const { vm, dataCentre, topology } = this.ports;
    const primaryDataCentre = this.findPrimaryDataCentre(group);
    return { group, needsPrimary, primaryDataCentre, vm, dataCentre, topology };
  }

  private describeDestination(
    destination: Destination,
    query: RouteQuery,
  ): Omit<LoadCandidate, "load"> {
    const { vm, dataCentre, isAvoided } = this.ports;
    const isLocal = destination.type === "local";
    const gateway = isLocal ? { vm, dataCentre } : destination.gateway;
    return {
      vm: gateway.vm,
      rank: rankGateway(gateway, query),
      distanceMs: this.isRemote(dataCentre, gateway) ? assumedCrossingMs : 0,
      isAvoided: isAvoided(gateway.vm),
      isLocal,
    };
  }

  private toDestination(gateway: Proxy, isMoved: boolean): Destination {
    const isLocal = gateway.vm === this.ports.vm && this.ports.isListed();
    if (isLocal) return localDestination;
    return isMoved ? { type: "gateway", gateway, isMoved } : { type: "gateway", gateway };
  }

  private findPrimaryDataCentre(group: string): string | undefined {
    const leader = this.ports.findLeader(group);
    if (leader.type !== "serving") return undefined;
    const targets = this.ports.findGroup(group)?.targets ?? [];
    return targets.find(({ name }) => name === leader.target)?.dataCentre;
  }

  /** The plan of a group, computed again when what it depends on has changed. */
  private findPlan(name: string): GatewayPlan {
    const proxies = this.ports.listProxies();
    const group = this.ports.findGroup(name);
    if (group === undefined) return emptyPlan;
    const known = this.plans.get(name);
    const isSlotPlanned = this.ports.isSlotPlanned?.() === true;
    const isCurrent = known?.proxies === proxies && known.group === group;
    if (isCurrent && known.isSlotPlanned === isSlotPlanned) return known.plan;
    const plan = chooseGateways(group, proxies, isSlotPlanned);
    this.plans.set(name, { proxies, group, isSlotPlanned, plan });
    return plan;
  }
}

const localDestination: Destination = { type: "local" };

/** Marks a gateway that goes before `preferred`, which comes first without load reports. */
function markMoved(
  preferred: Destination | undefined,
  ordered: readonly Destination[],
): readonly Destination[] {
  const [first, ...rest] = ordered;
  if (first === undefined || first === preferred || first.type === "local") return ordered;
  return [{ ...first, isMoved: true }, ...rest];
}
