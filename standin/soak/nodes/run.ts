import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore, type Address } from "../../../src/model/index.js";
import { Children, findFreePort, type Child, type LogLine } from "../../processes/index.js";
import { createRandomStream } from "../random.js";
import { Balancer } from "./balancer.js";
import { checkCutReads } from "./cut-reads.js";
import type { BackendAnswer, BackendCommand, BackendRequest, StoredWrites } from "./commands.js";
import { describeTimedFault, type NodeFault, type TimedFault } from "./faults.js";
import { Load } from "./load.js";
import { NodeProcess, type NodeCommand, type NodePlan } from "./node-process.js";
import type { ToldWrite } from "./operation.js";
import { findRegion, type SoakSite } from "./site.js";
import { summariseServed, type ServedReport } from "./tally.js";

/** Options of a run. Times are in milliseconds. */
export interface NodeSoakOptions {
  readonly site: SoakSite;
  readonly seed: number;
  readonly durationMs: number;
  readonly faults: readonly TimedFault[];
  /** The factor by which the site's traffic is multiplied. */
  readonly scale: number;
  /** The pause between the start of the nodes and that of the traffic. */
  readonly leadMs: number;
  /** The repository with the bundled node and the deploy file. */
  readonly repository: string;
  /** The file that receives the lines of all nodes; none by default. */
  readonly logPath?: string;
  readonly onEvent: (text: string) => void;
}

/** The result of a run. */
export interface NodeSoakReport {
  readonly served: ServedReport;
  /** Promises of the pages that were broken, each described in a line. */
  readonly breaches: readonly string[];
  /** How many reads were served in each region while the link between regions was cut. */
  readonly cutReads: readonly string[];
  /** The bytes sent from each region to each other one. */
  readonly sentBytes: Readonly<Record<string, number>>;
  /** How often processes of nodes ended without being told to. */
  readonly unexpectedEnds: number;
  /** When each node was first ready after the start, in milliseconds. */
  readonly readyAfterMs: number;
}

const host = "127.0.0.1";
const graceMs = 6000;
const longestStartMs = 60_000;
const pollMs = 50;
/** How long after nodes were killed the primary crashes, in milliseconds. */
const primaryDelayMs = 300;
/** Replication and lost answers have settled after this long, in milliseconds. */
const settleMs = 1500;

/** Runs the deployed program as processes before the stand-ins, under load and faults. */
export async function runNodeSoak(options: NodeSoakOptions): Promise<NodeSoakReport> {
  const owned = new DisposableStore();
  try {
    return await new NodeSoak(options, owned).run();
  } finally {
    await owned.dispose();
  }
}

class NodeSoak {
  private readonly children: Children;
  private readonly folder: string;
  private readonly backend: Child;
  private nodes: readonly NodeProcess[] = [];
  private load: Load | undefined;
  private readonly cuts = new Set<readonly [string, string]>();

  constructor(
    private readonly options: NodeSoakOptions,
    private readonly owned: DisposableStore,
  ) {
    this.folder = mkdtempSync(join(tmpdir(), "radishwalk-nodes-"));
    owned.defer(() => {
      rmSync(this.folder, { recursive: true });
    });
    this.children = owned.add(new Children());
    this.backend = this.children.startWithMessages("backends", "../soak/nodes/backend-main.js");
    owned.defer(() => this.children.killAll());
  }

  async run(): Promise<NodeSoakReport> {
    const { options } = this;
    const { site, scale, seed } = options;
    this.nodes = await this.createNodes();
    const plans = this.nodes.map(({ plan }) => plan);
    const balancer = this.owned.add(new Balancer(plans, (from, to) => this.isReachable(from, to)));
    const random = createRandomStream(seed, 1);
    const load = this.owned.add(new Load({ site, nodes: plans, balancer, random, scale }));
    this.load = load;
    const startedAt = performance.now();
    for (const node of this.nodes) node.start();
    this.owned.defer(() => {
      for (const node of this.nodes) node.stop();
    });
    const readyAfterMs = await this.waitUntilReady(balancer, startedAt);
    options.onEvent(`ready after ${Math.round(readyAfterMs)} ms`);
    await sleep(Math.max(0, options.leadMs - readyAfterMs));
    load.start();
    const faults = options.faults.map((fault) => this.runFault(fault));
    await sleep(options.durationMs);
    await Promise.all(faults);
    await load.finish();
    await sleep(settleMs);
    const { writes, sentBytes } = await this.listWrites();
    const cutReads = checkCutReads(site, options.faults, load.results);
    return {
      served: summariseServed(load.results),
      breaches: [...listBreaches(load.writes, writes), ...cutReads.breaches],
      cutReads: cutReads.lines,
      sentBytes,
      unexpectedEnds: this.nodes.reduce((sum, node) => sum + node.unexpectedEnds, 0),
      readyAfterMs,
    };
  }

  private async createNodes(): Promise<readonly NodeProcess[]> {
    const { site, repository } = this.options;
    const zones = site.zones.flatMap((zone, index) =>
      Array.from({ length: site.nodesPerZone[index] ?? 0 }, () => zone),
    );
    const stores = await this.startBackends(zones.length);
    const allocated: NodePlan[] = [];
    for (const [index, zone] of zones.entries()) {
      allocated.push(await allocateNode(index, zone, stores[index] ?? { host, port: 0 }));
    }
    const plans = await this.addDetours(allocated);
    const command = readCommand(repository, (node, line) => this.recordLine(node, line));
    return plans.map(
      (plan) => new NodeProcess(plan, this.children, command, this.folder, site, plans),
    );
  }

  private async addDetours(plans: readonly NodePlan[]): Promise<readonly NodePlan[]> {
    const getRegion = ({ zone }: NodePlan) => findRegion(this.options.site, zone);
    const addresses = plans.flatMap((plan) =>
      [plan.peers, plan.gateway].map((address) => ({ region: getRegion(plan), address })),
    );
    const answer = await this.ask({ type: "openRelays", addresses });
    const detours = answer.type === "relays" ? answer.detours : {};
    return plans.map((plan) => ({ ...plan, detours: detours[getRegion(plan)] ?? {} }));
  }

  private async startBackends(nodes: number): Promise<readonly Address[]> {
    const answer = await this.ask({ type: "start", site: this.options.site, nodes });
    return answer.type === "started" ? answer.stores : [];
  }

  private async listWrites(): Promise<Extract<BackendAnswer, { readonly type: "writes" }>> {
    const answer = await this.ask({ type: "listWrites" });
    if (answer.type !== "writes") throw new Error(`unexpected answer ${answer.type}`);
    return answer;
  }

  private ask(request: BackendRequest): Promise<BackendAnswer> {
    return new Promise((resolve_) => {
      this.backend.process.once("message", (answer: BackendAnswer) => resolve_(answer));
      this.tell(request);
    });
  }

  private tell(request: BackendRequest): void {
    this.backend.process.send(request);
  }

  private apply(command: BackendCommand): void {
    this.tell({ type: "apply", command });
  }

  private async waitUntilReady(balancer: Balancer, startedAt: number): Promise<number> {
    while (balancer.countReady() < this.nodes.length) {
      const elapsedMs = performance.now() - startedAt;
      if (elapsedMs > longestStartMs) {
        throw new Error(`${balancer.countReady()} of ${this.nodes.length} nodes are ready`);
      }
      await sleep(pollMs);
    }
    return performance.now() - startedAt;
  }

  private async runFault(planned: TimedFault): Promise<void> {
    await sleep(planned.atMs);
    this.options.onEvent(describeTimedFault(planned));
    await this.applyFault(planned.fault);
  }

  private async applyFault(fault: NodeFault): Promise<void> {
    switch (fault.type) {
      case "killNodes":
        await Promise.all(this.pick(fault.nodes).map((node) => node.kill(fault.downMs)));
        return;
      case "killNodesAndPrimary": {
        const { nodes, group, forMs } = fault;
        const killed = this.pick(nodes).map((node) => node.kill(forMs));
        await sleep(primaryDelayMs);
        this.apply({ type: "crashPrimary", group, forMs });
        await Promise.all(killed);
        return;
      }
      case "restartNodes":
        await this.restartInTurn(this.pick(fault.nodes), fault.gapMs, fault.downMs);
        return;
      case "freezeNodes":
        await Promise.all(this.pick(fault.nodes).map((node) => node.freeze(fault.forMs)));
        return;
      case "reloadNodes":
        for (const node of this.nodes) node.reload();
        return;
      case "busyProcessor":
        for (let i = 0; i < fault.processes; i += 1) {
          this.children.start(`busy-${i}`, "../soak/nodes/busy.js", [String(fault.forMs)]);
        }
        return;
      case "cutRegions":
        this.apply(fault);
        this.cuts.add(fault.regions);
        await sleep(fault.forMs);
        this.cuts.delete(fault.regions);
        return;
      case "burstKind":
        await this.load?.burst(fault);
        return;
      case "backend":
        this.apply(fault.command);
    }
  }

  private isReachable(fromZone: string, toZone: string): boolean {
    const ends = [fromZone, toZone].map((zone) => findRegion(this.options.site, zone));
    return (
      ends[0] === ends[1] || ![...this.cuts].some((cut) => ends.every((end) => cut.includes(end)))
    );
  }

  private async restartInTurn(
    nodes: readonly NodeProcess[],
    gapMs: number,
    downMs: number,
  ): Promise<void> {
    const restarts: Promise<void>[] = [];
    for (const node of nodes) {
      restarts.push(node.restart(graceMs, downMs));
      await sleep(gapMs);
    }
    await Promise.all(restarts);
  }

  private pick(indexes: readonly number[]): readonly NodeProcess[] {
    return indexes.flatMap((index) => this.nodes[index] ?? []);
  }

  private recordLine(node: string, line: LogLine): void {
    const { logPath } = this.options;
    if (logPath !== undefined) appendFileSync(logPath, `${JSON.stringify({ node, ...line })}\n`);
  }
}

async function allocateNode(index: number, zone: string, store: Address): Promise<NodePlan> {
  const allocate = async () => ({ host, port: await findFreePort() });
  return {
    name: `node-${index}`,
    zone,
    callers: await allocate(),
    readiness: await allocate(),
    peers: await allocate(),
    gateway: await allocate(),
    store,
    detours: {},
  };
}

/** Reads how the deploy file starts a node. Its port for metrics is the same on all machines and is left out. */
function readCommand(repository: string, onLine: NodeCommand["onLine"]): NodeCommand {
  const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
  const words = /^run = "node ([^"]*)"/m.exec(text)?.[1]?.split(" ") ?? [];
  const [program, ...args] = words.filter((word) => !/^(--metrics-port|\d+)$/.test(word));
  if (program === undefined) throw new Error("deploy/system.toml has no program");
  return { program: resolve(repository, program), args, onLine };
}

/**
 * Compares what callers were told of their writes with the logs of the primaries. Replication is
 * asynchronous, so a promotion may roll back what was acknowledged before it.
 */
export function listBreaches(
  told: readonly ToldWrite[],
  { kept, rolledBack }: StoredWrites,
): readonly string[] {
  const counts = new Map<string, number>();
  for (const id of kept) counts.set(id, (counts.get(id) ?? 0) + 1);
  const lost = new Set(rolledBack);
  return told.flatMap(({ id, told: answer }) => {
    const count = counts.get(id) ?? 0;
    if (count > 1) return [`write ${id} took effect ${count} times`];
    if (answer === "notKept" && count > 0) return [`write ${id} was refused and took effect`];
    const isLost = answer === "kept" && count === 0 && !lost.has(id);
    return isLost ? [`write ${id} was acknowledged and is lost`] : [];
  });
}
