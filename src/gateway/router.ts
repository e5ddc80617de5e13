import type { AnnouncedGroup, Holding, PrimaryState } from "../direct/index.js";
import type { Proxy } from "../leadership/index.js";
import { chooseGateways, isGateway, listGateways, type GatewayPlan } from "./choose.js";
import { orderGateways } from "./route.js";

/** Where a statement may be run: over this process's own connections, or at a gateway. */
export type Destination =
  { readonly type: "here" } | { readonly type: "gateway"; readonly gateway: Proxy };

/** Where a statement may go, and whom to tell that nobody there took it. */
export interface DestinationSource {
  readonly listDestinations: () => readonly Destination[];
  readonly onNoneAccepted: () => void;
}

/** What the choice of ways needs to know. */
export interface RouterPorts {
  readonly vm: string;
  readonly dataCentre: string;
  /** The listed proxies; a new list is a new object. */
  readonly listProxies: () => readonly Proxy[];
  readonly findGroup: (group: string) => AnnouncedGroup | undefined;
  /** Who leads a group as far as this process knows, whether it may act on it or not. */
  readonly findLeader: (group: string) => PrimaryState;
  /** Whether this process is listed itself, and may hold connections. */
  readonly isListed: () => boolean;
  readonly isAvoided: (vm: string) => boolean;
  /** A statement was taken by nobody that this process knows of. */
  readonly onNoneAccepted: () => void;
}

/** Gateways that one statement is forwarded to at most, one after the other. */
const maxWays = 3;
const nobody: GatewayPlan = { isEveryProxyGateway: false, byDataCentre: new Map() };

interface KnownPlan {
  readonly proxies: readonly Proxy[];
  readonly group: AnnouncedGroup;
  readonly plan: GatewayPlan;
}

/** Decides who runs a group's statements, by the proxies that are listed. */
export class GatewayRouter {
  private readonly plans = new Map<string, KnownPlan>();

  constructor(private readonly ports: RouterPorts) {}

  /** The ways that a statement may take, the best first; none where no proxy is listed. */
  listDestinations(group: string, needsPrimary: boolean): readonly Destination[] {
    const { vm, dataCentre, isAvoided: isPassedOver } = this.ports;
    const plan = this.findPlan(group);
    const canServe = this.ports.isListed() && !isPassedOver(vm);
    if (plan.isEveryProxyGateway && canServe) return [here];
    const primaryDataCentre = this.findPrimaryPlace(group);
    const question = { group, needsPrimary, primaryDataCentre, vm, dataCentre };
    const ordered = orderGateways(plan, question);
    const fit = ordered.filter((proxy) => !isPassedOver(proxy.vm));
    const avoided = ordered.filter((proxy) => isPassedOver(proxy.vm));
    const ways = [...fit, ...avoided].slice(0, maxWays).map((gateway) => this.toWay(gateway));
    // With nobody to ask a listed process runs it over a connection opened for that.
    return ways.length === 0 && this.ports.isListed() ? [here] : ways;
  }

  /** The ways of one statement, listed anew with each round of tries. */
  createDestinationSource(group: string, needsPrimary: boolean): DestinationSource {
    const { onNoneAccepted: onNobody } = this.ports;
    return {
      listDestinations: () => this.listDestinations(group, needsPrimary),
      onNoneAccepted: onNobody,
    };
  }

  /** The proxies that hold a group's connections. */
  listGroupGateways(group: string): readonly Proxy[] {
    const plan = this.findPlan(group);
    return plan.isEveryProxyGateway ? this.ports.listProxies() : listGateways(plan);
  }

  /** Whether this process holds a group's connections. */
  isGateway(group: string): boolean {
    return this.ports.isListed() && isGateway(this.findPlan(group), this.ports.vm);
  }

  /** What this process holds of the connections to a group's targets in one data centre. */
  findHolding(group: string, dataCentre: string): Holding {
    if (!this.isGateway(group)) return { type: "none" };
    const plan = this.findPlan(group);
    const proxies = Math.max(1, this.listGroupGateways(group).length);
    if (plan.isEveryProxyGateway) return { type: "equal", proxies };
    const first = plan.byDataCentre.get(dataCentre)?.[0];
    return { type: "chosen", proxies, isFirst: first?.vm === this.ports.vm };
  }

  private toWay(gateway: Proxy): Destination {
    const isHere = gateway.vm === this.ports.vm && this.ports.isListed();
    return isHere ? here : { type: "gateway", gateway };
  }

  private findPrimaryPlace(group: string): string | undefined {
    const leader = this.ports.findLeader(group);
    if (leader.type !== "serving") return undefined;
    const targets = this.ports.findGroup(group)?.targets ?? [];
    return targets.find(({ name }) => name === leader.target)?.dataCentre;
  }

  /** The plan of a group, made anew once the proxies or the group's targets have changed. */
  private findPlan(name: string): GatewayPlan {
    const proxies = this.ports.listProxies();
    const group = this.ports.findGroup(name);
    if (group === undefined) return nobody;
    const known = this.plans.get(name);
    if (known?.proxies === proxies && known.group === group) return known.plan;
    const plan = chooseGateways(group, proxies);
    this.plans.set(name, { proxies, group, plan });
    return plan;
  }
}

const here: Destination = { type: "here" };
