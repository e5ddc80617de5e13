import { setTimeout as sleep } from "node:timers/promises";
import type pg from "pg";
import type { Address } from "../../src/model/index.js";
import { connectCaller } from "./statements.js";

/** What an idle proxy costs with so many callers connected. */
export interface IdleCost {
  readonly callers: number;
  /** Processor time as a share of one core. */
  readonly coreShare: number;
  readonly residentMb: number;
  readonly heapMb: number;
}

interface Usage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
}

const settleMs = 1500;
const batch = 50;
const megabyte = 1024 * 1024;

/** Measures a proxy over `ms` with each number of idle callers, in ascending order. */
export async function measureIdle(
  proxy: { readonly callers: Address; readonly health: Address },
  counts: readonly number[],
  ms: number,
): Promise<readonly IdleCost[]> {
  const clients: pg.Client[] = [];
  const costs: IdleCost[] = [];
  for (const count of counts) {
    while (clients.length < count) await addCallers(clients, proxy.callers, count);
    await sleep(settleMs);
    costs.push(await measureCost(proxy.health, count, ms));
  }
  await Promise.all(clients.map((c) => c.end()));
  return costs;
}

async function addCallers(clients: pg.Client[], address: Address, count: number): Promise<void> {
  const missing = Math.min(batch, count - clients.length);
  const opened = Array.from({ length: missing }, () => connectCaller(address));
  clients.push(...(await Promise.all(opened)));
}

async function measureCost(health: Address, callers: number, ms: number): Promise<IdleCost> {
  const before = await readUsage(health);
  const startAt = performance.now();
  await sleep(ms);
  const after = await readUsage(health);
  const seconds = (performance.now() - startAt) / 1000;
  const share = (after.cpuSeconds - before.cpuSeconds) / seconds;
  return {
    callers,
    coreShare: Math.round(share * 10_000) / 10_000,
    residentMb: Math.round((after.residentBytes * 10) / megabyte) / 10,
    heapMb: Math.round((after.heapBytes * 10) / megabyte) / 10,
  };
}

async function readUsage({ host, port }: Address): Promise<Usage> {
  const response = await fetch(`http://${host}:${port}/metrics`);
  const text = await response.text();
  const read = (name: string): number => {
    const [, value] = new RegExp(`^${name}(?:\\{.*\\})? (\\S+)$`, "m").exec(text) ?? [];
    if (value === undefined) throw new Error(`the proxy shows no ${name}`);
    return Number(value);
  };
  return {
    cpuSeconds: read("process_cpu_seconds_total"),
    residentBytes: read("process_resident_memory_bytes"),
    heapBytes: read("nodejs_heap_size_used_bytes"),
  };
}
