import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreePort } from "../../standin/processes/port.js";

/** A node: the deployed program as a process of its own. */
export interface RunningNode {
  readonly name: string;
  readonly port: number;
  readonly readinessPort: number;
  /** Its present process. */
  readonly getProcess: () => ChildProcess;
  /** Starts it again with the same settings, as the platform does some time after its end. */
  readonly restart: () => void;
}

/** The started nodes. */
export interface Fleet {
  readonly nodes: readonly RunningNode[];
  /** Ends all processes and removes the folder with their settings. */
  readonly stop: () => Promise<void>;
}

interface PlannedNode {
  readonly name: string;
  readonly zone: string;
  readonly ports: readonly [number, number, number, number, number];
}

const zones = ["palermo", "barracas", "belgrano"] as const;
const readyTimeoutMs = 20_000;

/**
 * Starts nodes with the command of the deploy file and settings like those of a small deployment, and waits until all
 * are ready. Their logs go to the file that the variable NODES_LOG names, if it is set.
 */
export async function startFleet(
  count: number,
  platformPort: number,
  getOverrides: (index: number) => Readonly<Record<string, string>> = () => ({}),
): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), "radishwalk-review-"));
  const log = createWriteStream(process.env.NODES_LOG ?? "/dev/null");
  const planned: PlannedNode[] = [];
  for (let index = 0; index < count; index += 1) {
    const zone = zones[index % zones.length] ?? zones[0];
    const ports = await findFreePorts();
    planned.push({ name: `frontend-${zone}-${index + 1}`, zone, ports });
  }
  const [program = "node", ...args] = readRunCommand();
  const nodes = planned.map((plan, index): RunningNode => {
    const path = join(folder, `${plan.name}.conf`);
    writeFileSync(path, formatSettings(plan, planned, platformPort, getOverrides(index)));
    const [port, readinessPort, , , metricsPort] = plan.ports;
    const ownArgs = args.map((arg) => (/^\d+$/.test(arg) ? String(metricsPort) : arg));
    const start = () => {
      const child = spawn(program, ownArgs, {
        stdio: ["ignore", "pipe", "pipe"],
        env: { PATH: process.env.PATH, RADISHWALK_SETTINGS: path },
      });
      child.stdout.on("data", (chunk: Buffer) => log.write(chunk));
      child.stderr.on("data", (chunk: Buffer) => log.write(chunk));
      return child;
    };
    let child = start();
    return {
      name: plan.name,
      port,
      readinessPort,
      getProcess: () => child,
      restart: () => {
        child = start();
      },
    };
  });
  const killAll = () => {
    for (const { getProcess } of nodes) {
      const child = getProcess();
      if (child.exitCode === null && child.signalCode === null) child.kill("SIGKILL");
    }
  };
  process.once("exit", killAll);
  for (const signal of ["SIGTERM", "SIGINT"] as const) process.once(signal, () => process.exit(2));
  const stop = async () => {
    killAll();
    await sleep(200);
    log.end();
    rmSync(folder, { recursive: true });
  };
  try {
    await Promise.all(nodes.map(waitUntilReady));
  } catch (error) {
    await stop();
    throw error;
  }
  return { nodes, stop };
}

/** The command of the deploy file. */
function readRunCommand(): readonly string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  return (/^run = "([^"]+)"/m.exec(text)?.[1] ?? "").split(" ");
}

async function waitUntilReady({ name, readinessPort }: RunningNode): Promise<void> {
  const until = performance.now() + readyTimeoutMs;
  while (performance.now() < until) {
    const status = await fetch(`http://127.0.0.1:${readinessPort}/ready`).then(
      (response) => response.status,
      () => 0,
    );
    if (status === 200) return;
    await sleep(100);
  }
  throw new Error(`${name} is not ready`);
}

function formatSettings(
  { name, zone, ports: [callers, readiness, admin, gateway] }: PlannedNode,
  all: readonly PlannedNode[],
  platformPort: number,
  overrides: Readonly<Record<string, string>>,
): string {
  const fields: Readonly<Record<string, string>> = {
    "node-name": name,
    role: "proxy",
    "machine-class": "frontend",
    serves: "frontend,control",
    ip: "127.0.0.1",
    zone,
    region: "baires",
    ...Object.fromEntries(zones.map((known) => [`zones.${known}`, "baires"])),
    "listen.frontend": `127.0.0.1:${callers}`,
    "listen.readiness": `127.0.0.1:${readiness}`,
    "listen.admin": `127.0.0.1:${admin}`,
    "internal-ports": `${gateway},${gateway}`,
    seeds: all
      .map(({ ports }) => `127.0.0.1:${ports[2]}`)
      .slice(0, 3)
      .join(","),
    bootstrap: "true",
    "limits.cpu-share": "0.675",
    "limits.cpus": "1",
    "limits.memory-mb": "350",
    "limits.max-fds": "4300",
    "limits.bandwidth-mbps": "1000.0",
    "heartbeat-ms": "1200",
    "bounds.contact-ms": "4000",
    "bounds.drain-timeout-ms": "7000",
    "bounds.grace-s": "6",
    "bounds.config-apply-ms": "3000",
    "platform.address": `127.0.0.1:${platformPort}`,
    "platform.form": "objects",
    "platform.writes-per-s": "400",
    "platform.reads-per-s": "2000",
    "platform.value-bytes": "1048576",
    "cloud-api.address": `127.0.0.1:${platformPort}`,
    "cloud-api.duties": "failover",
    ...overrides,
  };
  return Object.entries(fields)
    .map(([field, value]) => `${field}=${value}\n`)
    .join("");
}

async function findFreePorts(): Promise<PlannedNode["ports"]> {
  return [
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
  ];
}
