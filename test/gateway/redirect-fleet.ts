import { FaultyLink } from "../../standin/link.js";
import { StatementTrace, type PrimaryState, type SessionContext } from "../../src/direct/index.js";
import { DirectSession } from "../../src/direct/session.js";
import { chooseGateways } from "../../src/gateway/choose.js";
import { encodeRun, type TransactionPart } from "../../src/gateway/codec.js";
import type { ForwardResult } from "../../src/gateway/connection.js";
import {
  EntryLoads,
  GatewayConnections,
  GatewayRouter,
  GatewayServer,
  RoutedRunner,
} from "../../src/gateway/index.js";
import type { RouterPorts } from "../../src/gateway/router.js";
import type { Proxy } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { DisposableStore, type Mark } from "../../src/model/index.js";
import {
  failLocally,
  type CommandResult,
  type Statement,
  type Work,
} from "../../src/statement/index.js";
import { singleRegion, type Topology } from "../../src/topology/index.js";
import { answered, group, ProxyFixture, type FixtureOptions } from "../direct/fixture.js";
import { findAddress } from "../node/cluster.js";
import { makeProxy } from "./builders.js";

/** The data centres of the primary `p` and the replica `q`. A third target `r` is where the primary is. */
export const homeCentre = "b";
export const nearCentre = "a";

export const mark: Mark = { term: { round: 1, vm: "" }, offset: 7 };
export const lagging: CommandResult = {
  type: "answered",
  reply: failLocally("lagging", "the log lacks the mark", "idle"),
};

/** What one process of the fleet believes. */
interface Beliefs {
  proxies: readonly Proxy[];
  leader: PrimaryState;
  readonly avoided: Set<string>;
}

/** A gateway with fake targets. */
export interface FleetGateway extends Beliefs {
  readonly vm: string;
  readonly stage: ProxyFixture;
  readonly link: FaultyLink;
  readonly server: GatewayServer;
}

export interface FleetOptions {
  /** Whether the entry node is itself the near gateway. */
  readonly isEntryNear?: boolean;
  /** Whether the data centre of the replica has a second gateway. */
  readonly hasSecondNear?: boolean;
  readonly stage?: FixtureOptions;
  /** The regions of the data centres; one region by default. */
  readonly topology?: Topology;
}

const entryVm = "vm-entry";
/** More than a small fleet has, in a data centre without targets: they are never gateways. */
const bystanders = Array.from({ length: 13 }, (_, i) => makeProxy(100 + i, "c"));

/**
 * An entry node in the data centre of the replica, with one gateway there (`near`) and two in the data centre of
 * the primary: its first one (`home`) and the one that takes over (`spare`). Messages between them pass over
 * sockets; all clocks stand still unless a test advances them.
 */
export class RedirectFleet implements Beliefs {
  readonly entry: ProxyFixture;
  readonly gateways: FleetGateway[] = [];
  proxies: readonly Proxy[] = [];
  leader: PrimaryState = { type: "serving", target: "p" };
  readonly avoided = new Set<string>();
  /** The entry node's load reports. */
  readonly loads: EntryLoads;
  /** Whether the entry node sends reads to the second gateway of its data centre. */
  isReadMoved = false;
  private readonly owned = new DisposableStore();
  private readonly connections: GatewayConnections;
  private readonly runner: RoutedRunner;
  private nextId = 1;
  private readonly timers: NodeJS.Timeout[] = [];

  private constructor(private readonly options: FleetOptions) {
    const { topology } = options;
    const stage = options.stage ?? {};
    this.entry = createStage(nearCentre, topology === undefined ? stage : { ...stage, topology });
    const { clock } = this.entry;
    this.loads = new EntryLoads({
      clock,
      random: this.entry.ports.random,
      logger: silentLogger,
      isSlotPlanned: () => this.entry.isSlotPlanned,
      getServingConfig: this.entry.ports.getServingConfig,
      isGateway: () => true,
      onRefused: () => undefined,
    });
    const { loads } = this;
    this.connections = this.owned.add(
      new GatewayConnections({ clock, logger: silentLogger, loads }),
    );
    const isListed = options.isEntryNear === true;
    const isAvoided = (vm: string) => this.connections.isAvoided(vm);
    const router = this.createRouter(
      { vm: entryVm, dataCentre: nearCentre, isListed, isAvoided, loads },
      this,
      (_group, gateways) => {
        const [first, second, ...rest] = gateways;
        if (first === undefined || second === undefined || !this.isReadMoved) return gateways;
        return [second, first, ...rest];
      },
    );
    this.runner = new RoutedRunner(router, this.connections);
  }

  static async start(options: FleetOptions = {}): Promise<RedirectFleet> {
    const fleet = new RedirectFleet(options);
    if (options.isEntryNear !== true) await fleet.addGateway("vm-near", nearCentre);
    if (options.hasSecondNear === true) await fleet.addGateway("vm-near-2", nearCentre);
    await fleet.addGateway("vm-1", homeCentre);
    await fleet.addGateway("vm-2", homeCentre);
    const nearEntry = { ...makeProxy(99, nearCentre), vm: entryVm };
    fleet.proxies = [...fleet.proxies, ...bystanders, ...(options.isEntryNear ? [nearEntry] : [])];
    for (const gateway of fleet.gateways) gateway.proxies = fleet.proxies;
    return fleet;
  }

  /** Starts a fleet whose near gateway finds its replica behind, and whose gateways at home answer. */
  static async startLagging(options: FleetOptions = {}): Promise<RedirectFleet> {
    const fleet = await RedirectFleet.start(options);
    for (const { stage } of [fleet.home, fleet.spare]) fleet.answerAll(stage, lagging);
    const stage = options.isEntryNear === true ? fleet.entry : fleet.near.stage;
    learnMark(stage);
    fleet.answerAll(stage, lagging);
    return fleet;
  }

  get near(): FleetGateway {
    return this.find("vm-near");
  }

  /** The gateways of the replica's data centre, the preferred one first. */
  get nearGateways(): readonly FleetGateway[] {
    return this.listGateways(nearCentre).map(({ vm }) => this.find(vm));
  }

  /** The first gateway of the primary's data centre. */
  get home(): FleetGateway {
    return this.find(this.listGateways(homeCentre)[0]?.vm ?? "");
  }

  /** The gateway that takes over when `home` is lost. */
  get spare(): FleetGateway {
    return this.find(this.listGateways(homeCentre)[1]?.vm ?? "");
  }

  open(database: string): DirectSession {
    const { ports, groups } = this.entry;
    return new DirectSession({
      id: "s",
      database,
      key: "",
      ports,
      groups,
      runner: this.runner,
      nextId: () => `e${this.nextId++}`,
    });
  }

  /** Sends work to the near gateway with the consent to a redirect, whatever the work is. */
  callNear(work: Work, part: TransactionPart): Promise<ForwardResult> {
    const proxy = this.proxies.find(({ vm }) => vm === this.near.vm);
    const connection = proxy === undefined ? undefined : this.connections.open(proxy);
    if (connection === undefined) throw new Error("the near gateway takes no statements");
    const context = createContext(this.entry);
    return connection.call(
      encodeRun(context, work, 500, part, true),
      2000,
      context.disconnectSignal,
    );
  }

  /** Sets whether the parts for uneven load are on, in the given processes or in all. */
  setPlanned(
    isPlanned: boolean,
    stages = [this.entry, ...this.gateways.map((g) => g.stage)],
  ): void {
    for (const stage of stages) stage.isSlotPlanned = isPlanned;
  }

  /** Answers all commands to a stage's replica and primary from now on. */
  answerAll(stage: ProxyFixture, replica: CommandResult, primary = answered()): void {
    let count = 0;
    const answerNew = () => {
      for (const { target, answer } of stage.sent.slice(count)) {
        count += 1;
        answer(target === "q" ? replica : primary);
      }
    };
    this.timers.push(setInterval(answerNew, 1));
  }

  isAvoided({ vm }: FleetGateway): boolean {
    return this.connections.isAvoided(vm);
  }

  dispose(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.owned.add(this.entry);
    return this.owned.dispose();
  }

  private find(vm: string): FleetGateway {
    const gateway = this.gateways.find((candidate) => candidate.vm === vm);
    if (gateway === undefined) throw new Error(`no gateway ${vm}`);
    return gateway;
  }

  private listGateways(centre: string): readonly Proxy[] {
    const announced = this.entry.ports.getServingConfig().groups.get(group);
    if (announced === undefined) throw new Error("no group");
    const { proxies } = this.gateways[0] ?? this;
    return chooseGateways(announced, proxies).byDataCentre.get(centre) ?? [];
  }

  private async addGateway(vm: string, dataCentre: string): Promise<void> {
    const stage = createStage(dataCentre, this.options.stage ?? {});
    const address = await findAddress();
    const link = new FaultyLink(() => address);
    const advertised = await link.start();
    const beliefs: Beliefs = { proxies: [], leader: this.leader, avoided: new Set() };
    const isAvoided = (name: string) => beliefs.avoided.has(name);
    const router = this.createRouter({ vm, dataCentre, isListed: true, isAvoided }, beliefs);
    let nextCall = 1;
    const server = new GatewayServer(address, {
      direct: stage.ports,
      groups: stage.groups,
      findRefusal: () => undefined,
      findReadRefusal: () => undefined,
      nextId: () => `h${nextCall++}`,
      grantTokens: () => ({ tokens: 0, lifeMs: 0 }),
      findRedirectDestinations: (name) => router.findRedirectDestinations(name),
    });
    await server.listen();
    for (const item of [server, link, stage]) this.owned.add(item);
    this.gateways.push(Object.assign(beliefs, { vm, stage, link, server }));
    const proxy = { vm, address, dataCentre, gateway: advertised };
    this.proxies = [...this.proxies, proxy];
  }

  private createRouter(
    self: RouterSelf,
    beliefs: Beliefs,
    orderReads?: RouterPorts["orderReads"],
  ): GatewayRouter {
    const { vm, dataCentre, isListed, isAvoided } = self;
    const { groups } = this.entry.ports.getServingConfig();
    return new GatewayRouter({
      vm,
      dataCentre,
      topology: this.options.topology ?? this.options.stage?.topology ?? singleRegion,
      listProxies: () => beliefs.proxies,
      findGroup: (name) => groups.get(name),
      findLeader: () => beliefs.leader,
      isListed: () => isListed,
      isAvoided: (name) => name !== vm && isAvoided(name),
      onNoneAccepted: () => undefined,
      ...(self.loads === undefined ? {} : { loads: self.loads }),
      ...(orderReads === undefined ? {} : { orderReads }),
    });
  }
}

/** A process as its router sees it. */
interface RouterSelf {
  readonly vm: string;
  readonly dataCentre: string;
  readonly isListed: boolean;
  readonly isAvoided: (vm: string) => boolean;
  readonly loads?: EntryLoads;
}

/** The fake targets of one process, which has one place at each unless it is in the primary's data centre. */
function createStage(dataCentre: string, options: FixtureOptions): ProxyFixture {
  const dataCentres = [homeCentre, nearCentre, homeCentre];
  const stage = new ProxyFixture({ ...options, dataCentre, dataCentres });
  stage.isSlotPlanned = true;
  if (dataCentre === nearCentre) stage.setShareRule({ type: "equal", proxies: 16 });
  return stage;
}

/** The context of a read with a staleness bound, of a session that has not committed. */
export function createContext({ ports, groups }: ProxyFixture): SessionContext {
  const database = ports.getServingConfig().databases.get("own");
  const directGroup = groups.find(group);
  if (database === undefined || directGroup === undefined) throw new Error("unknown database");
  return {
    ports,
    session: "s",
    database,
    team: undefined,
    group: directGroup,
    values: new Map(),
    lastCommit: undefined,
    disconnectSignal: new AbortController().signal,
    trace: new StatementTrace(),
    nextId: () => "c1",
  };
}

/** Makes a stage believe that a read is already on its way to learn the end of the primary's log. */
export function beginPositionRead(stage: ProxyFixture): void {
  stage.groups.find(group)?.beginPositionRead();
}

/** Makes a stage know the end of the primary's log, so that reads may go to its replica. */
export function learnMark(stage: ProxyFixture): void {
  stage.openedAt = mark;
  stage.groups.find(group)?.notePrimaryMark("p", mark, stage.clock.now());
}

/** Counts the statements that a gateway sent to a target. */
export const countWork = ({ stage }: { readonly stage: ProxyFixture }, target: string): number =>
  stage.list(target, "work").length;

/** Tells whether a gateway has sent a statement to a target. */
export const hasWork = (gateway: FleetGateway, target: string) => (): boolean =>
  countWork(gateway, target) > 0;

/** Begins a read-only transaction. */
export const beginReading: Statement = { type: "begin", id: "b", isReadOnly: true };
