import { spawn, type ChildProcess } from "node:child_process";
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Address } from "../../src/model/index.js";
import { StandinLineTarget, StandinLog, StandinMetadata } from "../../standin/direct/index.js";
import { HoldLink } from "./hold-link.js";

/** The command of the deploy file, without the shell. */
const command = ["target/radishwalk-node.cjs", "--metrics-port", "9464"];
const zones = ["palermo", "barracas", "belgrano"];
const couldNotRun = 2;
/** A script ends by then, whatever happens. */
const maxRunMs = 110_000;
const heartbeatMs = 1200;
const stepDownMs = 1000;

/** A node as a process, with its own ways to the store and to the platform's API. */
export interface RunningNode {
  readonly name: string;
  readonly process: ChildProcess;
  readonly frontend: Address;
  readonly readiness: Address;
  readonly storeLink: HoldLink;
  readonly apiLink: HoldLink;
}

/** A backend of the service, as the store's entry shows it. */
export interface Backend {
  readonly target: StandinLineTarget;
  readonly zone: string;
  isLeaving: boolean;
  isRunning: boolean;
}

/** A route of the configuration. */
export interface Route {
  readonly host: string;
  readonly type: "primary" | "bounded_staleness" | "read_your_writes";
  readonly timeoutMs: number;
}

/** The size of a deployment. Times are in milliseconds. */
export interface DeploymentOptions {
  readonly nodes: number;
  readonly routes: readonly Route[];
  readonly slots: number;
  readonly lagMs: number;
  readonly promoteMs: number;
  readonly getWorkMs?: (text: string) => number;
}

/** The name of the one service. */
export const service = "libro-1";

/** The nodes, the store, the platform's API and one service of three backends, with settings of a small deployment. */
export class Deployment {
  readonly store = new StandinMetadata();
  readonly log = new StandinLog();
  readonly nodes: RunningNode[] = [];
  readonly backends: Backend[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), "radishwalk-review-"));
  private beat: NodeJS.Timeout | undefined;
  private sequence = 0;
  private isStopped = false;

  private constructor(private readonly options: DeploymentOptions) {}

  static async start(options: DeploymentOptions): Promise<Deployment> {
    const deployment = new Deployment(options);
    for (const signal of ["SIGINT", "SIGTERM"] as const)
      process.once(signal, () => process.exit(couldNotRun));
    process.once("exit", () => deployment.stop());
    process.once("uncaughtException", (error) => {
      console.error(error);
      process.exit(couldNotRun);
    });
    setTimeout(() => process.exit(couldNotRun), maxRunMs).unref();
    try {
      await deployment.startAll();
      return deployment;
    } catch (error) {
      deployment.stop();
      throw error;
    }
  }

  /** Ends every process that was started; also called when this process ends. */
  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    clearInterval(this.beat);
    for (const { process: child, storeLink, apiLink } of this.nodes) {
      child.kill("SIGKILL");
      storeLink.stop();
      apiLink.stop();
    }
    for (const { target } of this.backends) void target.dispose();
    void this.store.dispose();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Begins a planned shutdown of a backend: it reports `draining`, and ends a while after its drain time. */
  release(backend: Backend): void {
    backend.isLeaving = true;
    this.announce();
  }

  findPrimary(): Backend | undefined {
    const id = this.log.findPrimary()?.id;
    return this.backends.find(({ target }) => target.id === id);
  }

  private async startAll(): Promise<void> {
    const { store, log, options } = this;
    log.lagMs = options.lagMs;
    store.answerMs = 4;
    await store.start();
    store.onPromote = async (_service, id) => {
      const named = this.backends.find(({ target }) => target.id === id);
      if (named?.isRunning !== true) return false;
      setTimeout(() => this.promote(id), options.promoteMs).unref();
      return Promise.resolve(true);
    };
    for (const [index, zone] of zones.entries()) {
      const target = new StandinLineTarget(`i-${index}`, index === 0 ? "primary" : "replica", log, {
        service,
        slots: options.slots,
        queue: 16,
        maxConnections: 55,
        connectMs: 12,
        ...(options.getWorkMs === undefined ? { workMs: 5 } : { getWorkMs: options.getWorkMs }),
      });
      await target.start();
      this.backends.push({ target, zone, isLeaving: false, isRunning: true });
    }
    this.writeConfiguration();
    this.announce();
    this.beat = setInterval(() => this.announce(), heartbeatMs);
    await this.startNodes();
  }

  /** The named backend leads the next term. An older primary steps down a second after it can reach the new one. */
  private promote(id: string): void {
    this.log.promote(id);
    this.announce();
    setTimeout(() => {
      for (const member of this.log.members.values()) {
        if (member.role === "primary" && member !== this.log.findPrimary()) member.role = "replica";
      }
      this.log.replicate();
      this.announce();
    }, stepDownMs).unref();
  }

  private writeConfiguration(): void {
    const routes = this.options.routes.map(({ host, type, timeoutMs }) => ({
      name: `r-${host}`,
      host,
      service,
      type,
      priority: type === "primary" ? 1 : 2,
      "timeout-ms": timeoutMs,
      "target-latency-ms": 200,
      "max-staleness-ms": 1500,
    }));
    const services = [{ name: service, "max-conns": 55, "sync-replicas": 0 }];
    const limits = { "tx-idle-ms": 3000, "header-timeout-ms": 3000 };
    this.store.set("config", "main", { version: 7, routes, services, limits });
  }

  /** Writes the backends' entries; one that has not changed keeps its revision. */
  private announce(): void {
    this.sequence += 1;
    for (const { target, zone, isLeaving, isRunning } of this.backends) {
      if (!isRunning) continue;
      const entry = {
        service,
        address: `${target.address.host}:${target.address.port}`,
        zone,
        version: "v1",
        capacity: this.options.slots,
        state: isLeaving ? "draining" : "ready",
        "cold-remaining-ms": 0,
        "db-role": target.member.role,
      };
      const known = this.store.find("servers", target.id) as { sequence: number } | undefined;
      const sequence = known?.sequence ?? this.sequence;
      if (JSON.stringify({ ...entry, sequence }) === JSON.stringify(known)) continue;
      this.store.set("servers", target.id, { ...entry, sequence: this.sequence });
    }
  }

  private async startNodes(): Promise<void> {
    const { options, store } = this;
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const ports = await findPorts(`${network}.1`, 4);
    const [frontend = 0, readiness = 0, admin = 0, internal = 0] = ports;
    const hosts = Array.from({ length: options.nodes }, (_, index) => `${network}.${index + 1}`);
    const seeds = hosts.slice(0, 3).map((host) => `${host}:${admin}`);
    for (const [index, host] of hosts.entries()) {
      const zone = zones[index % zones.length] ?? "";
      const name = `frontend-${zone}-${Math.floor(index / zones.length) + 1}`;
      const storeLink = new HoldLink(store.address);
      const apiLink = new HoldLink(store.address);
      await storeLink.start();
      await apiLink.start();
      const fields = {
        "node-name": name,
        role: "proxy",
        "machine-class": "frontend",
        serves: "frontend,control",
        ip: host,
        zone,
        region: "baires",
        ...Object.fromEntries(zones.map((z) => [`zones.${z}`, "baires"])),
        "listen.frontend": `${host}:${frontend}`,
        "listen.readiness": `${host}:${readiness}`,
        "listen.admin": `${host}:${admin}`,
        "internal-ports": `${internal},${internal + 15}`,
        seeds: seeds.join(","),
        bootstrap: "true",
        "limits.cpu-share": 0.675,
        "limits.cpus": 1,
        "limits.memory-mb": 350,
        "limits.max-fds": 4300,
        "limits.bandwidth-mbps": "1000.0",
        "heartbeat-ms": heartbeatMs,
        "bounds.contact-ms": 4000,
        "bounds.ack-timeout-ms": 5000,
        "bounds.drain-timeout-ms": 7000,
        "bounds.grace-s": 6,
        "bounds.loss-slack-ms": 200,
        "bounds.config-apply-ms": 3000,
        "bounds.require-fencing": false,
        "platform.address": `${storeLink.address.host}:${storeLink.address.port}`,
        "platform.form": "objects",
        "platform.writes-per-s": 400,
        "platform.reads-per-s": 2000,
        "cloud-api.address": `${apiLink.address.host}:${apiLink.address.port}`,
        "cloud-api.duties": "failover",
      };
      const path = join(this.folder, `${name}.conf`);
      const lines = Object.entries(fields).map(([key, value]) => `${key}=${value}\n`);
      writeFileSync(path, lines.join(""));
      const output = openSync(join(this.folder, `${name}.log`), "w");
      const { PATH = "", HOME = "" } = process.env;
      const child = spawn(process.execPath, command, {
        env: { PATH, HOME, RADISHWALK_SETTINGS: path },
        stdio: ["ignore", output, output],
      });
      closeSync(output);
      this.nodes.push({
        name,
        process: child,
        frontend: { host, port: frontend },
        readiness: { host, port: readiness },
        storeLink,
        apiLink,
      });
    }
    await Promise.all(this.nodes.map((node) => waitUntilReady(node)));
  }
}

/** Asks as the platform's probe does. */
export async function isReady({ readiness: { host, port } }: RunningNode): Promise<boolean> {
  return fetch(`http://${host}:${port}/ready`, { signal: AbortSignal.timeout(500) }).then(
    (response) => response.status === 200,
    () => false,
  );
}

async function waitUntilReady(node: RunningNode): Promise<void> {
  for (let tries = 0; tries < 200; tries += 1) {
    if (await isReady(node)) return;
    await sleep(100);
  }
  throw new Error(`${node.name} did not become ready`);
}

/** Finds ports that are free on a loopback address. */
async function findPorts(host: string, count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, host, resolve);
    });
    const bound = server.address();
    ports.push(typeof bound === "object" && bound !== null ? bound.port : 0);
  }
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
