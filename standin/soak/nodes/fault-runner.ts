import { setTimeout as sleep } from "node:timers/promises";
import type { Children } from "../../processes/index.js";
import type { BackendClient } from "./backend-client.js";
import type { BackendCommand } from "./commands.js";
import type { CutDirection, Disturbance } from "./disturbance.js";
import { describeTimedFault, type NodeFault, type TimedFault } from "./fault.js";
import type { Load } from "./load.js";
import type { NodePlan, NodeProcess } from "./node-process.js";

/** What faults strike. */
export interface FaultTargets {
  readonly nodes: readonly NodeProcess[];
  readonly backend: BackendClient;
  readonly load: Load;
  readonly children: Children;
  /** The regions between which the links are cut now. */
  readonly cuts: Set<readonly [string, string]>;
  /** Allocates the addresses of the machine that replaces a node. */
  readonly allocate: (node: number) => Promise<NodePlan>;
  readonly onEvent: (text: string) => void;
}

const graceMs = 6000;
const holderPollMs = 20;
/** How long after nodes were killed the primary crashes, in milliseconds. */
const primaryDelayMs = 300;
/** A node loses its power within this time after a configuration was written, in milliseconds. */
const afterChangeMs = 4;
/** How long targets count the connections of a machine without power, in milliseconds. */
const lingerMs = 3000;
/** Other machines' settings name a new machine this long after its start, in milliseconds. */
const seedLagMs = 3000;

/** Carries out the faults of a run. */
export class FaultRunner {
  constructor(private readonly targets: FaultTargets) {}

  /** Waits for the time of a fault and carries it out; resolves when it is over. */
  async run(planned: TimedFault): Promise<void> {
    await sleep(planned.atMs);
    this.targets.onEvent(describeTimedFault(planned));
    await this.apply(planned.fault);
  }

  /** Carries out a fault; resolves when it is over. */
  async apply(fault: NodeFault): Promise<void> {
    const { nodes, backend, load, children, cuts } = this.targets;
    switch (fault.type) {
      case "killNodes":
        await Promise.all(this.pick(fault.nodes).map((node) => node.kill(fault.downMs)));
        return;
      case "losePower":
        return this.losePower(fault.nodes, fault.downMs);
      case "killWriter": {
        const { lastWriter } = await backend.describe();
        await nodes[lastWriter ?? 0]?.kill(fault.downMs);
        return;
      }
      case "killHolders":
        return this.killHolders(fault.forMs, fault.downMs);
      case "losePowerAfterChange":
        backend.apply({ type: "changeConfiguration" });
        await sleep(afterChangeMs);
        return this.losePower([fault.node], fault.downMs);
      case "replaceNode":
        return this.replaceNode(fault.node, fault.afterMs);
      case "killNodesAndPrimary": {
        const { group, forMs } = fault;
        const killed = this.pick(fault.nodes).map((node) => node.kill(forMs));
        await sleep(primaryDelayMs);
        backend.apply({ type: "crashPrimary", group, forMs });
        await Promise.all(killed);
        return;
      }
      case "restartNodes":
        return this.restartInTurn(this.pick(fault.nodes), fault.gapMs, fault.downMs);
      case "freezeNodes":
        await Promise.all(this.pick(fault.nodes).map((node) => node.freeze(fault.forMs)));
        return;
      case "reloadNodes":
        for (const node of nodes) node.reload();
        return;
      case "cutNodes":
        return this.cutNodes(fault);
      case "cutFromPrimary":
        return this.cutFromPrimary(fault);
      case "disturbNodes":
        return this.disturb(fault.nodes, fault.disturbance);
      case "shiftCallers":
        return load.shift(fault);
      case "busyProcessor":
        for (let i = 0; i < fault.processes; i += 1) {
          children.start(`busy-${i}`, "../soak/nodes/busy.js", [String(fault.forMs)]);
        }
        return;
      case "cutRegions":
        backend.apply(fault);
        cuts.add(fault.regions);
        await sleep(fault.forMs);
        cuts.delete(fault.regions);
        return;
      case "burstKind":
        return load.burst(fault);
      case "backend":
        this.recordStoreLoss(fault.command);
        backend.apply(fault.command);
    }
  }

  /** Records that the way of single nodes to the store is disrupted. */
  private recordStoreLoss(command: BackendCommand): void {
    if (!("nodes" in command)) return;
    for (const { contact } of this.pick(command.nodes)) contact.recordDisruption(command.forMs);
  }

  private async losePower(indexes: readonly number[], downMs: number): Promise<void> {
    const lost = this.pick(indexes).map((node) => node.losePower(downMs));
    if (downMs < lingerMs) {
      await sleep(downMs);
      this.targets.backend.apply({ type: "lingerConnections", forMs: lingerMs - downMs });
    }
    await Promise.all(lost);
  }

  private async killHolders(forMs: number, downMs: number): Promise<void> {
    const { nodes, backend } = this.targets;
    const until = performance.now() + forMs;
    let killed: string | undefined;
    while (performance.now() < until) {
      const { leaseHolder } = await backend.describe();
      if (leaseHolder !== killed) {
        killed = leaseHolder;
        await nodes.find(({ plan }) => plan.name === leaseHolder)?.kill(downMs);
      }
      await sleep(holderPollMs);
    }
  }

  private async replaceNode(index: number, afterMs: number): Promise<void> {
    const { nodes, allocate } = this.targets;
    const plan = await allocate(index);
    await nodes[index]?.replace(plan, this.listPlans(), afterMs);
    await sleep(seedLagMs);
    for (const node of nodes) node.writeSettings(this.listPlans());
  }

  private async cutNodes({
    nodes: cut,
    from,
    direction,
    forMs,
  }: Extract<NodeFault, { readonly type: "cutNodes" }>): Promise<void> {
    const plans = this.listPlans();
    const peers = plans.flatMap(({ peers: { port }, gateway }) => [port, gateway.port]);
    const { targets } = await this.targets.backend.describe();
    const others = [...targets.map(({ port }) => port), ...plans.map(({ store }) => store.port)];
    await this.hold(cut, from === "all" ? [...peers, ...others] : peers, direction, forMs);
  }

  private async cutFromPrimary({
    nodes: cut,
    group,
    direction,
    forMs,
  }: Extract<NodeFault, { readonly type: "cutFromPrimary" }>): Promise<void> {
    const { targets } = await this.targets.backend.describe();
    const primaries = targets.filter((target) => target.isPrimary && target.group === group);
    const ports = primaries.map(({ port }) => port);
    await this.hold(cut, ports, direction, forMs);
  }

  private hold(
    indexes: readonly number[],
    ports: readonly number[],
    direction: CutDirection,
    forMs: number,
  ): Promise<void> {
    return this.disturb(indexes, { type: "holdLinks", ports, direction, forMs });
  }

  private async disturb(indexes: readonly number[], disturbance: Disturbance): Promise<void> {
    for (const node of this.pick(indexes)) node.disturb(disturbance);
    if ("forMs" in disturbance) await sleep(disturbance.forMs);
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

  private listPlans(): readonly NodePlan[] {
    return this.targets.nodes.map(({ plan }) => plan);
  }

  private pick(indexes: readonly number[]): readonly NodeProcess[] {
    return indexes.flatMap((index) => this.targets.nodes[index] ?? []);
  }
}
