import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { pathToFileURL } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import type { Address } from "../../../src/model/index.js";
import {
  resolveBuiltPath,
  type Child,
  type Children,
  type LogLine,
} from "../../processes/index.js";
import type { BalancedNode } from "./balancer.js";
import { ContactLog } from "./contact.js";
import type { Disturbance } from "./disturbance.js";
import type { LimitedProcess } from "./processor-share.js";
import type { Detours } from "./region-network.js";
import { findRegion, type SoakSite } from "./site.js";

/** The addresses and the data centre of a node. */
export interface NodePlan {
  readonly name: string;
  readonly zone: string;
  readonly callers: Address;
  readonly readiness: Address;
  readonly peers: Address;
  readonly gateway: Address;
  readonly store: Address;
  /** The relays to other regions that the node connects to; none in a site of one region. */
  readonly detours: Detours;
}

/** The command that starts a node, as the deploy file gives it. */
export interface NodeCommand {
  readonly program: string;
  readonly args: readonly string[];
  /** Receives the lines that nodes write. */
  readonly onLine: (node: string, line: LogLine) => void;
}

const maxSeeds = 3;

/** Targets and the store drop a connection whose other end is unreachable after this long, in milliseconds. */
const unreachableDropMs = 3000;

/** A process that has ended is started again after this long at least, in milliseconds. */
const minDownMs = 300;

/** One node: the deployed program as a process, which is started again whenever it has ended. */
export class NodeProcess implements BalancedNode, LimitedProcess {
  private child: Child | undefined;
  private readonly settingsPath: string;
  /** How many reasons there are for which the process is suspended. */
  private suspensions = 0;
  private isEnding = false;
  private isStopped = false;
  private startAt = 0;
  /** When the machine and its links were disrupted. */
  readonly contact = new ContactLog();
  /** How often it ended without being told to. */
  unexpectedEnds = 0;

  constructor(
    private currentPlan: NodePlan,
    private readonly children: Children,
    private readonly command: NodeCommand,
    folder: string,
    private readonly site: SoakSite,
    plans: readonly NodePlan[],
  ) {
    this.settingsPath = join(folder, `${currentPlan.name}.conf`);
    this.writeSettings(plans);
  }

  get plan(): NodePlan {
    return this.currentPlan;
  }

  get zone(): string {
    return this.plan.zone;
  }

  get callers(): Address {
    return this.plan.callers;
  }

  get readiness(): Address {
    return this.plan.readiness;
  }

  get id(): number | undefined {
    return this.child?.isRunning === true ? this.child.id : undefined;
  }

  /** Writes the settings file, with the seeds among all nodes; a running process reads it again after a while. */
  writeSettings(plans: readonly NodePlan[]): void {
    writeFileSync(this.settingsPath, formatSettings(this.plan, this.site, plans));
  }

  start(): void {
    this.contact.recordDisruption();
    const { program, args, onLine } = this.command;
    const { name, detours } = this.plan;
    const environment = { RADISHWALK_SETTINGS: this.settingsPath, ...formatPreloads(detours) };
    const child = this.children.startProgram(name, program, args, environment);
    child.onLine((line) => onLine(name, line));
    this.child = child;
    this.isEnding = false;
    if (this.suspensions > 0) child.send("SIGSTOP");
    void child.ended.then(() => this.startAgain());
  }

  /** Replaces the machine: its process is killed, and one with another name and addresses starts after a pause. */
  async replace(plan: NodePlan, plans: readonly NodePlan[], afterMs: number): Promise<void> {
    const killed = this.kill(afterMs);
    this.currentPlan = plan;
    this.writeSettings(plans);
    await killed;
  }

  /** Ends the process for good. */
  stop(): void {
    this.isStopped = true;
    this.child?.send("SIGKILL");
  }

  /** Kills the process, also while it is draining; another starts after a pause. */
  async kill(downMs: number): Promise<void> {
    this.contact.recordDisruption(downMs);
    this.expectEnd(downMs);
    this.child?.send("SIGKILL");
    await this.child?.ended;
  }

  /** Ends the process as the platform does before a restart; another starts after a pause. */
  async restart(graceMs: number, downMs: number): Promise<void> {
    const { child } = this;
    this.contact.recordDisruption();
    this.expectEnd(0);
    child?.send("SIGTERM");
    const timer = setTimeout(() => child?.send("SIGKILL"), graceMs);
    await child?.ended;
    clearTimeout(timer);
    this.expectEnd(downMs);
  }

  /** Suspends the process for a while. */
  async freeze(forMs: number): Promise<void> {
    this.contact.recordDisruption(forMs);
    const resume = this.suspend();
    await sleep(forMs);
    resume();
  }

  suspend(): () => void {
    this.suspensions += 1;
    this.child?.send("SIGSTOP");
    return () => {
      this.suspensions -= 1;
      if (this.suspensions === 0) this.child?.send("SIGCONT");
    };
  }

  /**
   * Takes the machine's power: its connections stay open at their other ends and are silent, until these drop them or
   * the machine is back. New connections are accepted by the kernel and are silent as well.
   */
  async losePower(downMs: number): Promise<void> {
    this.contact.recordDisruption(downMs);
    const silentMs = Math.min(downMs, unreachableDropMs);
    const resume = this.suspend();
    await sleep(silentMs);
    const killed = this.kill(downMs - silentMs);
    resume();
    await killed;
  }

  /** Has a running process disturb its own connections or clock. */
  disturb(disturbance: Disturbance): void {
    this.contact.recordDisruption("forMs" in disturbance ? disturbance.forMs : 0);
    if (this.id !== undefined) this.child?.process.send(disturbance);
  }

  reload(): void {
    if (!this.isEnding) this.child?.send("SIGHUP");
  }

  private expectEnd(downMs: number): void {
    this.isEnding = true;
    this.startAt = Math.max(this.startAt, performance.now() + downMs);
  }

  private async startAgain(): Promise<void> {
    if (!this.isEnding && !this.isStopped) this.unexpectedEnds += 1;
    this.isEnding = true;
    await sleep(minDownMs);
    while (performance.now() < this.startAt) await sleep(this.startAt - performance.now());
    if (!this.isStopped) this.start();
  }
}

function formatPreloads(detours: Detours): Readonly<Record<string, string>> {
  const hasDetours = Object.keys(detours).length > 0;
  const preloads = ["disturbed-node.js", ...(hasDetours ? ["detour.js"] : [])];
  const options = preloads.map((name) => {
    const path = resolveBuiltPath(`../soak/nodes/${name}`);
    return `--import ${pathToFileURL(path).href}`;
  });
  return { NODE_OPTIONS: options.join(" "), SOAK_DETOURS: JSON.stringify(detours) };
}

function formatSettings(plan: NodePlan, site: SoakSite, others: readonly NodePlan[]): string {
  const fields = {
    "node-name": plan.name,
    role: "proxy",
    ip: plan.callers.host,
    zone: plan.zone,
    ...Object.fromEntries(site.zones.map((zone) => [`zones.${zone}`, findRegion(site, zone)])),
    "listen.frontend": formatAddress(plan.callers),
    "listen.readiness": formatAddress(plan.readiness),
    "listen.admin": formatAddress(plan.peers),
    "internal-ports": `${plan.gateway.port},${plan.gateway.port}`,
    seeds: others
      .slice(0, maxSeeds)
      .map(({ peers }) => formatAddress(peers))
      .join(","),
    "limits.cpu-share": site.power,
    "limits.cpus": 1,
    "bounds.grace-s": 6,
    "bounds.drain-timeout-ms": 7000,
    "bounds.config-apply-ms": 3000,
    "bounds.quota-window-s": 5,
    "bounds.quota-overage": 0.1,
    "bounds.quota-slack": 20,
    "platform.address": formatAddress(plan.store),
    "platform.reads-per-s": site.storeReadsPerSecond,
    "platform.writes-per-s": site.storeWritesPerSecond,
    "cloud-api.address": formatAddress(plan.store),
  };
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${value}\n`)
    .join("");
}

function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}
