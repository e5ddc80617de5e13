/** One measured figure at one size. */
export interface Sample {
  readonly role: string;
  readonly what: string;
  /** Number of the things that `what` grows with. */
  readonly size: number;
  readonly value: number;
  readonly unit: string;
}

const minimumMs = 200;
const rounds = 5;

/** Measures the processor time of one call, in microseconds: the median of five rounds. */
export function measureMicros(run: () => void): number {
  run();
  const times = Array.from({ length: rounds }, () => measureRound(run)).sort((a, b) => a - b);
  return times[Math.floor(rounds / 2)] ?? 0;
}

function measureRound(run: () => void): number {
  const start = process.cpuUsage();
  const end = performance.now() + minimumMs;
  let calls = 0;
  do {
    run();
    calls += 1;
  } while (performance.now() < end);
  const { user, system } = process.cpuUsage(start);
  return (user + system) / calls;
}

const copies = 20;

/** Measures the heap that a value keeps, in bytes, over twenty copies. Needs `--expose-gc`. */
export function measureHeap(build: () => unknown): number {
  const collect = () => globalThis.gc?.();
  collect();
  const before = process.memoryUsage().heapUsed;
  const kept = Array.from({ length: copies }, build);
  collect();
  const after = process.memoryUsage().heapUsed;
  return (after - before) / kept.length;
}

/** The bytes of a value as JSON. */
export function countBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
