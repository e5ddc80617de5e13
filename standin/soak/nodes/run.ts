import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore, type Address } from "../../../src/model/index.js";
import { Children, findFreePort, type LogLine } from "../../processes/index.js";
import { createRandomStream } from "../random.js";
import { BackendClient } from "./backend-client.js";
import { Balancer } from "./balancer.js";
import { contactMs } from "./contact.js";
import { checkCutReads } from "./cut-reads.js";
import type { StoredWrites } from "./commands.js";
import type { TimedFault } from "./fault.js";
import { listDrainBreaches } from "./drain-check.js";
import { FaultRunner } from "./fault-runner.js";
import { listBelowFloor } from "./gate.js";
import { Load } from "./load.js";
import { LoopDelayMonitor, type LoopDelays } from "./loop-delays.js";
import { MachineLoadMonitor, type MachineLoad } from "./machine-load.js";
import { NodeProcess, type NodeCommand, type NodePlan } from "./node-process.js";
import type { ToldWrite } from "./operation.js";
import { ProcessorShare } from "./processor-share.js";
import { findRegion, type SoakSite } from "./site.js";
import { listSupersededBreaches, thawSlackMs } from "./superseded-check.js";
import { findSlowRecovery, measureRecovery, type Recovery } from "./recovery.js";
import { summariseServed, summariseSince, type ServedReport, type ServedShare } from "./tally.js";

/** What strikes all nodes at the end, right after a configuration was written. */
export type FinalFault = "kill" | "power";

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
  /** How many processes run beside the nodes that only compute, from their start on. */
  readonly neighbours?: number;
  /** What strikes all nodes after `durationMs`; traffic goes on until they should have recovered. */
  readonly finalFault?: FinalFault;
  /** Whether each node has no more than the site's share of a core. */
  readonly isShareLimited?: boolean;
  /** The repository with the bundled node and the deploy file. */
  readonly repository: string;
  /** The file that receives the lines of all nodes; none by default. */
  readonly logPath?: string;
  readonly onEvent: (text: string) => void;
}

/** What a run's figures depend on besides the nodes, while there was traffic. */
export interface RunConditions {
  /** How late the callers got to run. */
  readonly callers: LoopDelays;
  /** How late the process with the store and the targets got to run, from its start on. */
  readonly targets: LoopDelays;
  readonly machine: MachineLoad;
}

/** The result of a run. */
export interface NodeSoakReport {
  readonly served: ServedReport;
  /** What has earned less than its floor, or was not earned again in time. */
  readonly belowFloor: readonly string[];
  /** How long after the last planned fault the run earned again what it did before the first. */
  readonly recovery: Recovery;
  /** What was asked for when the nodes should have recovered from the last fault. */
  readonly recovered: ServedShare;
  /** Promises of the pages that were broken, each described in a line. */
  readonly breaches: readonly string[];
  /** The statements that reached a target after its drain timeout, also those that no promise rules out. */
  readonly lateArrivals: number;
  /** How many reads were served in each region while the link between regions was cut. */
  readonly cutReads: readonly string[];
  /** The bytes sent from each region to each other one. */
  readonly sentBytes: Readonly<Record<string, number>>;
  readonly conditions: RunConditions;
  /** How often processes of nodes ended without being told to. */
  readonly unexpectedEnds: number;
  /** When each node was first ready after the start, in milliseconds. */
  readonly readyAfterMs: number;
}

const host = "127.0.0.1";
const msPerSecond = 1000;
const longestStartMs = 60_000;
const pollMs = 50;
/** The users' rules: nodes have recovered this long after they are back, in milliseconds. */
const recoveryMs = 12_000;
/** How long traffic goes on after that, in milliseconds. */
const recoveredMs = 5000;
const finalDownMs = 900;
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
  private readonly backend: BackendClient;
  private readonly cuts = new Set<readonly [string, string]>();
  private allocated = 0;
  /** By statement: the nodes whose logs name it. */
  private readonly nodesByStatement = new Map<string, Set<string>>();

  constructor(
    private readonly options: NodeSoakOptions,
    private readonly owned: DisposableStore,
  ) {
    this.folder = mkdtempSync(join(tmpdir(), "radishwalk-nodes-"));
    owned.defer(() => {
      rmSync(this.folder, { recursive: true });
    });
    this.children = owned.add(new Children());
    this.backend = new BackendClient(
      this.children.startWithMessages("backends", "../soak/nodes/backend-main.js"),
    );
    owned.defer(() => this.children.killAll());
  }

  async run(): Promise<NodeSoakReport> {
    const { options, owned } = this;
    const { site, scale, seed } = options;
    const nodes = await this.createNodes();
    const balancer = owned.add(new Balancer(nodes, (from, to) => this.isReachable(from, to)));
    const random = createRandomStream(seed, 1);
    const load = owned.add(new Load({ site, nodes, balancer, random, scale }));
    const startedAt = performance.now();
    this.startNeighbours();
    for (const node of nodes) node.start();
    owned.defer(() => {
      for (const node of nodes) node.stop();
    });
    if (options.isShareLimited === true) owned.add(new ProcessorShare(nodes, site.power));
    const readyAfterMs = await this.waitUntilReady(balancer, nodes.length, startedAt);
    options.onEvent(`ready after ${Math.round(readyAfterMs)} ms`);
    await sleep(Math.max(0, options.leadMs - readyAfterMs));
    const delays = new LoopDelayMonitor();
    const machineLoad = new MachineLoadMonitor();
    load.start();
    const lastFaultMs = await this.runFaults(nodes, load);
    await load.finish();
    await sleep(settleMs);
    const [callers, machine] = [delays.measure(), machineLoad.measure()];
    const { writes, lateArrivals, sentBytes, delays: targets } = await this.backend.listWrites();
    const findNodes = (statement: string) => [...(this.nodesByStatement.get(statement) ?? [])];
    const wasInTouch = (name: string, at: number, forMs: number) =>
      nodes
        .filter(({ plan }) => plan.name === name)
        .every((node) => node.contact.isInTouch(at, forMs));
    const drainBreaches = listDrainBreaches({
      arrivals: lateArrivals,
      findNodes,
      isInTouch: (name, at) => wasInTouch(name, at, contactMs),
    });
    const supersededBreaches = listSupersededBreaches({
      writes: writes.superseded,
      told: load.writes,
      findNodes,
      isUndisturbed: (name, at) => wasInTouch(name, at, thawSlackMs),
    });
    const cutReads = checkCutReads(site, options.faults, load.results);
    const served = summariseServed(load.results);
    const recovery = this.measureRecovery(served);
    const slowRecovery = findSlowRecovery(recovery, recoveryMs);
    return {
      served,
      belowFloor: [
        ...listBelowFloor(served, site),
        ...(slowRecovery === undefined ? [] : [slowRecovery]),
      ],
      recovery,
      recovered: summariseSince(load.results, lastFaultMs + recoveryMs),
      breaches: [
        ...listBreaches(load.writes, writes, site.syncReplicas),
        ...supersededBreaches,
        ...cutReads.breaches,
        ...drainBreaches,
      ],
      lateArrivals: lateArrivals.length,
      cutReads: cutReads.lines,
      sentBytes,
      conditions: { callers, targets, machine },
      unexpectedEnds: nodes.reduce((sum, node) => sum + node.unexpectedEnds, 0),
      readyAfterMs,
    };
  }

  /** They end with the run. */
  private startNeighbours(): void {
    const { neighbours = 0, leadMs, durationMs } = this.options;
    const longestMs = longestStartMs + leadMs + durationMs;
    for (let i = 0; i < neighbours; i += 1) {
      this.children.start(`neighbour-${i}`, "../soak/nodes/busy.js", [String(longestMs)]);
    }
  }

  /** A final fault has a recovery of its own, which is judged by `recovered`. */
  private measureRecovery({ seconds }: ServedReport): Recovery {
    const { faults, finalFault, durationMs } = this.options;
    const isBeforeFinal = ({ name }: ServedShare) => Number(name) * msPerSecond < durationMs;
    return measureRecovery(
      finalFault === undefined ? seconds : seconds.filter(isBeforeFinal),
      faults,
    );
  }

  /** Runs all faults beside the traffic; resolves at its end, to when the last fault was over. */
  private async runFaults(nodes: readonly NodeProcess[], load: Load): Promise<number> {
    const { options, backend, children, cuts } = this;
    const { onEvent } = options;
    const allocate = (node: number) => this.allocateReplacement(nodes, node);
    const runner = new FaultRunner({ nodes, backend, load, children, cuts, allocate, onEvent });
    let lastFaultMs = 0;
    const faults = options.faults.map(async (fault) => {
      await runner.run(fault);
      lastFaultMs = load.elapsedMs;
    });
    await sleep(options.durationMs);
    if (options.finalFault !== undefined) {
      onEvent(`final fault: ${options.finalFault}`);
      backend.apply({ type: "changeConfiguration" });
      const all = nodes.map((_, index) => index);
      const type = options.finalFault === "kill" ? "killNodes" : "losePower";
      await runner.apply({ type, nodes: all, downMs: finalDownMs });
      lastFaultMs = load.elapsedMs;
      await sleep(recoveryMs + recoveredMs);
    }
    await Promise.all(faults);
    return lastFaultMs;
  }

  private async createNodes(): Promise<readonly NodeProcess[]> {
    const { site, repository } = this.options;
    const zones = site.zones.flatMap((zone, index) =>
      Array.from({ length: site.nodesPerZone[index] ?? 0 }, () => zone),
    );
    const stores = await this.backend.start(site, zones.length);
    const allocated: NodePlan[] = [];
    for (const [index, zone] of zones.entries()) {
      allocated.push(await this.allocateNode(zone, stores[index] ?? { host, port: 0 }));
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
    const detours = await this.backend.openRelays(addresses);
    return plans.map((plan) => ({ ...plan, detours: detours[getRegion(plan)] ?? {} }));
  }

  /** Allocates a machine with a name and addresses of its own in the zone of another one. */
  private allocateReplacement(nodes: readonly NodeProcess[], index: number): Promise<NodePlan> {
    const replaced = nodes[index]?.plan;
    return this.allocateNode(replaced?.zone ?? "", replaced?.store ?? { host, port: 0 });
  }

  private async allocateNode(zone: string, store: Address): Promise<NodePlan> {
    const allocate = async () => ({ host, port: await findFreePort() });
    const name = `node-${this.allocated}`;
    this.allocated += 1;
    return {
      name,
      zone,
      callers: await allocate(),
      readiness: await allocate(),
      peers: await allocate(),
      gateway: await allocate(),
      store,
      detours: {},
    };
  }

  private async waitUntilReady(
    balancer: Balancer,
    nodeCount: number,
    startedAt: number,
  ): Promise<number> {
    while (balancer.countReady() < nodeCount) {
      const elapsedMs = performance.now() - startedAt;
      if (elapsedMs > longestStartMs) {
        throw new Error(`${balancer.countReady()} of ${nodeCount} nodes are ready`);
      }
      await sleep(pollMs);
    }
    return performance.now() - startedAt;
  }

  private isReachable(fromZone: string, toZone: string): boolean {
    const ends = [fromZone, toZone].map((zone) => findRegion(this.options.site, zone));
    return (
      ends[0] === ends[1] || ![...this.cuts].some((cut) => ends.every((end) => cut.includes(end)))
    );
  }

  private recordStatement(statement: string, node: string): void {
    const nodes = this.nodesByStatement.get(statement) ?? new Set();
    this.nodesByStatement.set(statement, nodes.add(node));
  }

  private recordLine(node: string, line: LogLine): void {
    const { logPath } = this.options;
    if (typeof line.id === "string") this.recordStatement(line.id, node);
    if (logPath !== undefined) appendFileSync(logPath, `${JSON.stringify({ node, ...line })}\n`);
  }
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
 * Compares what callers were told of their writes with the logs of the primaries. A promotion may roll back what was
 * acknowledged before it, unless replicas had to receive it first.
 */
export function listBreaches(
  told: readonly ToldWrite[],
  { kept, rolledBack }: Pick<StoredWrites, "kept" | "rolledBack">,
  syncReplicas = 0,
): readonly string[] {
  const counts = new Map<string, number>();
  for (const id of kept) counts.set(id, (counts.get(id) ?? 0) + 1);
  const lost = new Set(syncReplicas === 0 ? rolledBack : []);
  return told.flatMap(({ id, told: answer }) => {
    const count = counts.get(id) ?? 0;
    if (count > 1) return [`write ${id} took effect ${count} times`];
    if (answer === "notKept" && count > 0) return [`write ${id} was refused and took effect`];
    const isLost = answer === "kept" && count === 0 && !lost.has(id);
    return isLost ? [`write ${id} was acknowledged and is lost`] : [];
  });
}
