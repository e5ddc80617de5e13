import type { Draft } from "../src/controller/configuration/index.js";
import { openIncarnation } from "../src/controller/membership/index.js";
import { ConfigurationEditor } from "../src/fleet/index.js";
import { silentLogger, type Logger } from "../src/log/index.js";
import {
  DisposableStore,
  setViolationHandler,
  type Address,
  type Disposable,
  type Group,
  type ViolationHandler,
  type Vm,
} from "../src/model/index.js";
import { HttpObjectStore } from "../src/platform/index.js";
import { Proxy } from "../src/proxy/index.js";
import { loadProxySettings, type ProxySettings } from "../src/settings/index.js";
import { createSystemClock, createSystemRandom } from "../src/system/index.js";
import { startCluster, type Cluster, type GroupOptions } from "./cluster.js";
import { FaultyLink } from "./link.js";

const host = "127.0.0.1";

/** Options of a fleet. */
export interface FleetOptions {
  readonly vms?: number;
  readonly groups?: readonly GroupOptions[];
  readonly configuration?: Draft;
  readonly logger?: Logger;
}

/** A member of the fleet: a VM whose proxy can be replaced, and the link by which peers connect to it. */
export interface FleetMember {
  readonly vm: Vm;
  readonly proxy: Proxy;
  readonly callers: Address;
  readonly link: FaultyLink;
  /** Stops the proxy without a drain and makes its link refuse connections. */
  kill(): Promise<void>;
  /** Kills the proxy if it still runs, and starts a new one with the same name and link. */
  restart(): Promise<void>;
}

/** Stand-ins and proxies in one process, connected through links that can be cut. */
export interface Fleet extends Disposable {
  readonly cluster: Cluster;
  readonly members: readonly FleetMember[];
  /** Links to the targets by target name. The connections of the owner and those to replicas pass through them. */
  readonly targetLinks: ReadonlyMap<string, FaultyLink>;
  readonly platformLink: FaultyLink;
  /** The violated invariants that the program reported so far. */
  readonly violations: readonly string[];
}

const defaultConfiguration: Draft = {
  teams: [
    { name: "ferrante", plan: "paying" },
    { name: "school", plan: "trial" },
  ],
  rules: [],
};

/** Starts a platform, groups and proxies; resolves when all are ready. */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const store = new DisposableStore();
  const clusterOptions = options.groups === undefined ? {} : { groups: options.groups };
  const cluster = await startCluster(clusterOptions);
  store.add(cluster);
  try {
    return await connectFleet(store, cluster, options);
  } catch (error) {
    await store.dispose();
    throw error;
  }
}

async function connectFleet(
  store: DisposableStore,
  cluster: Cluster,
  options: FleetOptions,
): Promise<Fleet> {
  const { platform } = cluster;
  const { configuration = defaultConfiguration, vms: vmCount = 3, logger = silentLogger } = options;
  const platformLink = store.add(new FaultyLink(() => platform.address));
  await platformLink.start();
  const targetLinks = await createTargetLinks(store, cluster);
  await applyFirstConfiguration(store, platform.url, configuration);
  const planned = await Promise.all(
    Array.from({ length: vmCount }, (_, i) => planMember(store, i, platformLink.address, logger)),
  );
  platform.setVms(planned.map((m) => m.vm));
  const violations: string[] = [];
  const handleViolation: ViolationHandler = (invariant, detail) => {
    violations.push(`${invariant}: ${detail}`);
  };
  const before = setViolationHandler(handleViolation);
  store.defer(() => void setViolationHandler(before));
  const members = planned.map((m) => new RunningMember(store, m, handleViolation));
  await Promise.all(members.map((m) => m.start()));
  const dispose = () => store.dispose();
  return { cluster, members, targetLinks, platformLink, violations, dispose };
}

async function applyFirstConfiguration(
  store: DisposableStore,
  url: string,
  draft: Draft,
): Promise<void> {
  const editor = new ConfigurationEditor({
    store: store.add(new HttpObjectStore({ url })),
    clock: createSystemClock(),
    random: createSystemRandom(),
  });
  const result = await editor.apply({ changeId: "first", draft }, 0);
  if (result.type !== "applied")
    throw new Error(`the first configuration was not applied: ${result.type}`);
}

/** Puts a link in front of each target and gives the platform the addresses of the links. */
async function createTargetLinks(
  store: DisposableStore,
  cluster: Cluster,
): Promise<ReadonlyMap<string, FaultyLink>> {
  const links = new Map<string, FaultyLink>();
  const groups: Group[] = [];
  for (const { name, targets } of cluster.groups) {
    const linked: Group["targets"][number][] = [];
    for (const target of targets) {
      const link = store.add(new FaultyLink(() => target.address));
      const address = await link.start();
      links.set(target.name, link);
      linked.push({ ...target.target, address });
    }
    groups.push({ name, targets: linked });
  }
  cluster.platform.setGroups(groups);
  return links;
}

interface PlannedMember {
  readonly vm: Vm;
  readonly link: FaultyLink;
  readonly listening: { address: Address | undefined };
  readonly create: () => Promise<Proxy>;
}

async function planMember(
  store: DisposableStore,
  index: number,
  platform: Address,
  logger: Logger,
): Promise<PlannedMember> {
  const name = `vm-${index + 1}`;
  const create = () =>
    Proxy.create({
      settings: buildSettings(name, platform),
      logger,
      clock: createSystemClock(),
      random: createSystemRandom(),
      incarnation: openIncarnation(Date.now()),
    });
  const listening: PlannedMember["listening"] = { address: undefined };
  const link = store.add(new FaultyLink(() => listening.address ?? { host, port: 1 }));
  const peer = await link.start();
  const vm: Vm = { name, dataCentre: `dc-${index + 1}`, peer, state: "live" };
  return { vm, link, listening, create };
}

/** A member of the fleet that runs one proxy at a time. */
class RunningMember implements FleetMember {
  private running: { readonly proxy: Proxy; readonly callers: Address } | undefined;
  private isKilled = false;
  private restarted = Promise.resolve();

  constructor(
    store: DisposableStore,
    private readonly planned: PlannedMember,
    private readonly handleViolation: ViolationHandler,
  ) {
    store.defer(() => this.kill());
  }

  get vm(): Vm {
    return this.planned.vm;
  }

  get link(): FaultyLink {
    return this.planned.link;
  }

  get proxy(): Proxy {
    return this.getRunning().proxy;
  }

  get callers(): Address {
    return this.getRunning().callers;
  }

  async start(): Promise<void> {
    const proxy = await this.planned.create();
    this.planned.listening.address = (await proxy.listen()).peers;
    // The member may be killed before it is ready; callers are then refused at port 1.
    this.running = { proxy, callers: { host, port: 1 } };
    const { callers } = await proxy.start();
    if (this.running.proxy === proxy) this.running = { proxy, callers };
    setViolationHandler(this.handleViolation);
  }

  async kill(): Promise<void> {
    if (this.running === undefined || this.isKilled) return;
    this.isKilled = true;
    this.link.setRefusing(true);
    await this.running.proxy.dispose();
    // A proxy that stops restores the handler from before its start, so violations would be missed.
    setViolationHandler(this.handleViolation);
  }

  /** Restarts run one after the other: two at once would leave two proxies in one member. */
  restart(): Promise<void> {
    this.restarted = this.restarted.then(() => this.replace());
    return this.restarted;
  }

  private async replace(): Promise<void> {
    await this.kill();
    this.isKilled = false;
    this.link.setRefusing(false);
    await this.start();
  }

  private getRunning(): { readonly proxy: Proxy; readonly callers: Address } {
    if (this.running === undefined) throw new Error(`${this.vm.name} was never started`);
    return this.running;
  }
}

function buildSettings(vm: string, platform: Address): ProxySettings {
  const text = `
vm: ${vm}
dataCentre: dc-1
listen: { callers: "${host}:1", peers: "${host}:1", health: "${host}:1" }
platform: ["${platform.host}:${platform.port}"]
tls: { callers: off, peers: off }
sessionKeys: [{ id: test, secret: a-secret-of-the-tests-with-32-characters }]
drain: { announce: 100ms, limit: 5s }
`;
  const loaded = loadProxySettings(text, "settings of the fleet");
  if (loaded.type === "faulty") throw new Error(JSON.stringify(loaded.faults));
  const anyPort: Address = { host, port: 0 };
  return { ...loaded.value, listen: { callers: anyPort, peers: anyPort, health: anyPort } };
}
