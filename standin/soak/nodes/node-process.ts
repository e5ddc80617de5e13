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

/** A process that has ended is started again after this long at least, in milliseconds. */
const minDownMs = 300;

/** One node: the deployed program as a process, which is started again whenever it has ended. */
export class NodeProcess {
  private child: Child | undefined;
  private readonly settingsPath: string;
  private isEnding = false;
  private isStopped = false;
  private startAt = 0;
  /** How often it ended without being told to. */
  unexpectedEnds = 0;

  constructor(
    readonly plan: NodePlan,
    private readonly children: Children,
    private readonly command: NodeCommand,
    folder: string,
    site: SoakSite,
    others: readonly NodePlan[],
  ) {
    this.settingsPath = join(folder, `${plan.name}.conf`);
    writeFileSync(this.settingsPath, formatSettings(plan, site, others));
  }

  start(): void {
    const { program, args, onLine } = this.command;
    const environment = {
      RADISHWALK_SETTINGS: this.settingsPath,
      ...formatDetours(this.plan.detours),
    };
    const child = this.children.startProgram(this.plan.name, program, args, environment);
    child.onLine((line) => onLine(this.plan.name, line));
    this.child = child;
    this.isEnding = false;
    void child.ended.then(() => this.startAgain());
  }

  /** Ends the process for good. */
  stop(): void {
    this.isStopped = true;
    this.child?.send("SIGKILL");
  }

  /** Kills the process, also while it is draining; another starts after a pause. */
  async kill(downMs: number): Promise<void> {
    this.expectEnd(downMs);
    this.child?.send("SIGKILL");
    await this.child?.ended;
  }

  /** Ends the process as the platform does before a restart; another starts after a pause. */
  async restart(graceMs: number, downMs: number): Promise<void> {
    const { child } = this;
    this.expectEnd(0);
    child?.send("SIGTERM");
    const timer = setTimeout(() => child?.send("SIGKILL"), graceMs);
    await child?.ended;
    clearTimeout(timer);
    this.expectEnd(downMs);
  }

  /** Suspends the process for a while. */
  async freeze(forMs: number): Promise<void> {
    const { child } = this;
    child?.send("SIGSTOP");
    await sleep(forMs);
    child?.send("SIGCONT");
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

function formatDetours(detours: Detours): Readonly<Record<string, string>> {
  if (Object.keys(detours).length === 0) return {};
  const preload = pathToFileURL(resolveBuiltPath("../soak/nodes/detour.js"));
  return { NODE_OPTIONS: `--import ${preload.href}`, SOAK_DETOURS: JSON.stringify(detours) };
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
