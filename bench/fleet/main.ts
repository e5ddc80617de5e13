import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { configurationKind, configurationName } from "../../src/fleet/index.js";
import type { Json, Vm } from "../../src/model/index.js";
import { createSystemClock } from "../../src/system/index.js";
import { StandinPlatform } from "../../standin/platform/index.js";
import { buildConfiguration } from "../capacity/build.js";
import { Node } from "./node.js";

const sizes = [8, 32, 96];
const teams = 100;
const changes = 30;
const idleMs = 20_000;
const firstPort = 28_000;
const stepMs = 1;

interface Figures {
  readonly nodes: number;
  readonly spreadMedianMs: number;
  readonly spreadWorstMs: number;
  /** Of an idle node, over twenty seconds. */
  readonly corePercent: number;
  readonly bytesPerSecond: number;
  readonly storeReadsPerSecond: number;
  readonly watches: number;
}

const sockets = new Set<Socket>();
let closedBytes = 0;
subscribe("net.client.socket", (message) => {
  const { socket } = message as { readonly socket: Socket };
  sockets.add(socket);
  socket.once("close", () => {
    closedBytes += countSocket(socket);
    sockets.delete(socket);
  });
});

const figures: Figures[] = [];
for (const size of sizes) figures.push(await measure(size));
if (process.argv.includes("--json")) console.log(JSON.stringify(figures, undefined, 2));
else console.table(figures);

async function measure(size: number): Promise<Figures> {
  const platform = new StandinPlatform();
  await platform.start();
  const vms = buildLocalVms(size);
  platform.setVms(vms);
  let version = write(platform, 1, 0);
  const clock = createSystemClock();
  const nodes = vms.map((vm) => new Node(vm, platform.url, clock));
  await Promise.all(nodes.map((node) => node.start()));
  await sleep(3000);
  const spreads: number[] = [];
  for (let revision = 2; revision < 2 + changes; revision++) {
    const start = performance.now();
    version = write(platform, revision, version);
    while (nodes.some((n) => n.configuration.getCurrent().revision < revision)) await sleep(stepMs);
    spreads.push(performance.now() - start);
    await sleep(100);
  }
  const idle = await measureIdle(platform, size);
  await Promise.all(nodes.map((node) => node.dispose()));
  await platform.dispose();
  spreads.sort((a, b) => a - b);
  return {
    nodes: size,
    spreadMedianMs: round(spreads[changes / 2] ?? 0),
    spreadWorstMs: round(spreads.at(-1) ?? 0),
    ...idle,
  };
}

async function measureIdle(platform: StandinPlatform, size: number) {
  const seconds = idleMs / 1000;
  const [cpu, bytes, calls] = [process.cpuUsage(), countBytes(), platform.calls];
  await sleep(idleMs);
  const { user, system } = process.cpuUsage(cpu);
  return {
    // The stand-in platform and both ends of every connection are in it.
    corePercent: round((user + system) / 10_000 / seconds / size),
    // Each byte is sent by one node and received by another, so that each node has twice this.
    bytesPerSecond: round((2 * (countBytes() - bytes)) / seconds / size),
    storeReadsPerSecond: round((platform.calls.reads - calls.reads) / seconds),
    watches: platform.calls.watches,
  };
}

function write(platform: StandinPlatform, revision: number, version: number): number {
  const value = { ...buildConfiguration(teams, revision), changeId: `c${revision}`, changes: [] };
  const team = { name: "changed", plan: revision % 2 === 0 ? "trial" : "paying" };
  const json = JSON.parse(JSON.stringify({ ...value, teams: [...value.teams, team] })) as Json;
  const update = platform.objects.put(configurationKind, configurationName, json, version);
  if (update.type === "conflict") throw new Error("the stand-in had another version");
  return update.object.version;
}

function buildLocalVms(size: number): readonly Vm[] {
  return Array.from({ length: size }, (_, i) => ({
    name: `vm-${i}`,
    dataCentre: `dc-${i % 3}`,
    peer: { host: "127.0.0.1", port: firstPort + i },
    state: "live",
  }));
}

function countBytes(): number {
  return [...sockets].reduce((sum, socket) => sum + countSocket(socket), closedBytes);
}

function countSocket(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
