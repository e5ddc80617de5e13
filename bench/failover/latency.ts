import type { Acknowledgement } from "../../src/model/index.js";
import type { GapListener, Rig } from "./rig.js";
import { type Summary, summarise } from "./statistics.js";
import { waitForPrimary, writeOnce } from "./writer.js";

/** Latency of writes at one lag of the replicas, direct and in each mode. */
export interface LatencyReport {
  readonly lagMs: number;
  readonly direct: Summary;
  readonly replicated: Summary;
  readonly witnessed: Summary;
}

/** Lags and how many writes each is measured with. */
const lags: readonly (readonly [lagMs: number, writes: number])[] = [
  [0, 300],
  [10, 200],
  [100, 40],
  [1000, 10],
  [5000, 4],
];

/** Measures each mode beside a direct write, for each lag of the brief. */
export async function measureLatency(
  create: (onGap: GapListener) => Rig | Promise<Rig>,
): Promise<readonly LatencyReport[]> {
  const rig = await create(() => undefined);
  await waitForPrimary(rig);
  await writeOnce(rig, "replicated");
  const reports: LatencyReport[] = [];
  for (const [lagMs, writes] of lags) reports.push(await measureLag(rig, lagMs, writes));
  await rig.dispose();
  return reports;
}

async function measureLag(rig: Rig, lagMs: number, writes: number): Promise<LatencyReport> {
  rig.setLag(lagMs);
  const direct = await measureWrites(rig, writes, () => writeDirect(rig));
  const measureMode = (mode: Acknowledgement): Promise<Summary> =>
    measureWrites(rig, writes, () => writeOnce(rig, mode));
  const witnessed = await measureMode("witnessed");
  const replicated = await measureMode("replicated");
  return { lagMs, direct, replicated, witnessed };
}

async function writeDirect(rig: Rig): Promise<boolean> {
  const { primary } = rig.watch.getView();
  return primary !== undefined && rig.write(primary.target);
}

async function measureWrites(
  rig: Rig,
  writes: number,
  write: () => Promise<boolean>,
): Promise<Summary> {
  const times: number[] = [];
  while (times.length < writes) {
    const begin = rig.clock.now();
    if (!(await write())) throw new Error("a write was not acknowledged");
    times.push(rig.clock.now() - begin);
  }
  return summarise(times);
}
