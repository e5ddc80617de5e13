import { singleRegion } from "../../src/topology/index.js";
import { FaultyLink } from "../../standin/link.js";
import { DirectSession } from "../../src/direct/session.js";
import {
  EntryLoads,
  GatewayConnections,
  GatewayRouter,
  GatewayServer,
  GatewayShares,
  RoutedRunner,
  type TokenResult,
} from "../../src/gateway/index.js";
import type { Proxy } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { DisposableStore, type Address } from "../../src/model/index.js";
import type { Reply, Statement } from "../../src/statement/index.js";
import { createSystemClock } from "../../src/system/index.js";
import { group, ProxyFixture, type FixtureOptions } from "../direct/fixture.js";
import { FakeClock, makeRandom } from "../fleet/fakes.js";
import { findAddress, waitUntil } from "../node/cluster.js";
import { DelayedLink } from "../node/delayed-link.js";

/** A gateway with a fake of its targets, which records what is sent to them, and a network link to it. */
export interface HopGateway {
  readonly vm: string;
  readonly stage: ProxyFixture;
  readonly link: FaultyLink;
  readonly address: Address;
  readonly server: GatewayServer;
  /** Why it refuses statements; undefined while it serves. */
  refusal: string | undefined;
  /** Whether reads that replicas may answer are served in spite of it. */
  servesReads?: boolean;
}

/** A node without connections to targets, and gateways that have some, with links in between that can fail. */
export class Hop {
  readonly gateways: HopGateway[] = [];
  readonly node: ProxyFixture;
  private readonly owned = new DisposableStore();
  /** The clock by which load reports grow old; it stands still unless a test advances it. */
  readonly loadClock = new FakeClock();
  /** The node's load reports, which play no part unless the node's slots are planned. */
  readonly loads: EntryLoads;
  /** The levels of the statements that the node refused by load reports. */
  readonly refusedLevels: number[] = [];
  private readonly connections: GatewayConnections;
  private readonly runner: RoutedRunner;
  private proxies: readonly Proxy[] = [];
  private nextSession = 1;
  readonly shares: GatewayShares;
  /** What the node draws to choose between the gateways of a read where slots are planned; 1 keeps the order. */
  draw = 1;
  /** How often none of the gateways that the node knows accepted a statement. */
  notAcceptedCount = 0;

  private constructor(options: FixtureOptions) {
    this.node = new ProxyFixture(options);
    const clock = createSystemClock();
    const isSlotPlanned = () => this.node.isSlotPlanned;
    this.loads = new EntryLoads({
      clock: this.loadClock,
      random: makeRandom(1),
      logger: silentLogger,
      isSlotPlanned,
      getServingConfig: this.node.ports.getServingConfig,
      isGateway: () => true,
      onRefused: (_group, level) => this.refusedLevels.push(level),
    });
    this.shares = new GatewayShares({
      vm: "vm-entry",
      clock,
      random: { draw: () => this.draw },
      logger: silentLogger,
      isSlotPlanned: () => options.isSlotPlanned === true,
    });
    const { loads } = this;
    this.connections = this.owned.add(
      new GatewayConnections({
        clock,
        logger: silentLogger,
        loads,
        onRead: (read) => this.shares.record(read),
      }),
    );
    const router = new GatewayRouter({
      vm: "vm-entry",
      dataCentre: "a",
      topology: singleRegion,
      listProxies: () => this.proxies,
      findGroup: (name) => this.node.ports.getServingConfig().groups.get(name),
      findLeader: () => ({ type: "serving", target: "p" }),
      isListed: () => false,
      onNoneAccepted: () => (this.notAcceptedCount += 1),
      isAvoided: (vm) => this.connections.isAvoided(vm),
      loads,
      orderReads: (name, gateways) => this.shares.order(name, gateways),
    });
    this.runner = new RoutedRunner(router, this.connections);
  }

  /**
   * Starts gateways with the same options as the node; with `isFar`, the way to them takes as long as between
   * regions.
   */
  static async start(count = 1, options: FixtureOptions = {}, isFar = false): Promise<Hop> {
    const hop = new Hop(options);
    for (let i = 0; i < count; i += 1) await hop.addGateway(`vm-${i}`, options, isFar);
    return hop;
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  /** Asks a gateway for tokens. */
  requestTokens(gateway: HopGateway, timeoutMs: number): Promise<TokenResult> {
    const proxy = this.proxies.find(({ vm }) => vm === gateway.vm);
    const connection = proxy === undefined ? undefined : this.connections.open(proxy);
    if (connection === undefined) throw new Error("the gateway is unknown");
    return connection.requestTokens("cello", 2, timeoutMs);
  }

  /** Finds the preferred gateway for statements that need the primary, by sending one. */
  async findFirst(): Promise<{ readonly first: HopGateway; readonly second: HopGateway }> {
    const probe = this.open("primary");
    const answer = probe.run(makeRead("probe"));
    await waitUntil(() => this.gateways.some(({ stage }) => stage.sent.length > 0));
    const first = this.gateways.find(({ stage }) => stage.sent.length > 0);
    const second = this.gateways.find((gateway) => gateway !== first);
    if (first === undefined || second === undefined) throw new Error("two gateways are needed");
    first.stage.list("p", "work")[0]?.answer();
    await answer;
    first.stage.sent.length = 0;
    return { first, second };
  }

  /** Opens a session at the node. */
  open(database: string): DirectSession {
    const { ports, groups } = this.node;
    const id = `s${this.nextSession}`;
    this.nextSession += 1;
    return new DirectSession({
      id,
      database,
      key: "",
      ports: { ...ports, clock: createSystemClock() },
      groups,
      runner: this.runner,
      nextId: () => "unused",
    });
  }

  /** Waits until the node has avoided a gateway after a failure and would use it again. */
  async waitForRetry({ vm }: HopGateway): Promise<void> {
    await waitUntil(() => this.connections.isAvoided(vm));
    await waitUntil(() => !this.connections.isAvoided(vm));
  }

  /** Closes all connections of the node, as when its process is killed. */
  killNode(): void {
    this.connections.dispose();
  }

  private async addGateway(vm: string, options: FixtureOptions, isFar: boolean): Promise<void> {
    const stage = new ProxyFixture(options);
    const address = await findAddress();
    const delayed = new DelayedLink(() => address);
    const destination = isFar ? await delayed.start() : address;
    const link = new FaultyLink(() => destination);
    const advertised = await link.start();
    let nextCall = 1;
    const server = new GatewayServer(address, {
      direct: stage.ports,
      groups: stage.groups,
      findRefusal: () => gateway.refusal,
      findReadRefusal: () => (gateway.servesReads === true ? undefined : gateway.refusal),
      nextId: () => `h${nextCall++}`,
      grantTokens: () => ({ tokens: 2, lifeMs: 1000 }),
      findRedirectDestinations: () => ({
        hasPrimaryGateway: () => false,
        hasRemoteGateway: () => false,
      }),
    });
    const gateway: HopGateway = { vm, stage, link, address, server, refusal: undefined };
    await server.listen();
    for (const item of [server, delayed, link, stage]) this.owned.add(item);
    this.gateways.push(gateway);
    const proxy = { vm, address, dataCentre: "a", gateway: advertised };
    this.proxies = [...this.proxies, proxy];
  }
}

export const makeRead = (id: string): Statement => ({
  type: "access",
  id,
  effect: "read",
  text: "READ cello",
});
export const makeWrite = (id: string): Statement => ({
  type: "access",
  id,
  effect: "write",
  text: "WRITE cello taken",
});
export const begin = (id: string): Statement => ({ type: "begin", id, isReadOnly: false });
export const commit = (id: string): Statement => ({ type: "commit", id, text: "COMMIT" });

/** `complete`, or the code of the reply's error. */
export const findEnd = ({ end }: Reply): string =>
  end.type === "complete" ? "complete" : end.code;

/** Waits until a gateway has sent at least `count` commands of this type to the primary. */
export async function waitForSent(
  { stage }: HopGateway,
  type: "work" | "commit" | "begin" | "rollback",
  count = 1,
): Promise<void> {
  await waitUntil(() => stage.list("p", type).length >= count);
}

export { group };
