import fc from "fast-check";
import { drawSteps, type FaultStep, runSteps } from "./faultsteps.js";

/** What a long run came to. */
export interface SoakReport {
  readonly runs: number;
  readonly steps: number;
  readonly acknowledged: number;
  readonly promotions: number;
  /** The first run that broke something, made as short as it could be. */
  readonly failure?: SoakFailure;
}

/** A run that broke something: with the seed and the path it can be drawn again. */
export interface SoakFailure {
  readonly seed: number;
  readonly path: string;
  readonly message: string;
  readonly fleetSeed: number;
  readonly steps: readonly FaultStep[];
}

const runsPerSeed = 50;
const maxSteps = 150;

/** Runs drawn faults until the time is over or something breaks; each seed follows the one before. */
export async function runSoak(minutes: number, firstSeed: number): Promise<SoakReport> {
  const end = performance.now() + minutes * 60_000;
  const total = { runs: 0, steps: 0, acknowledged: 0, promotions: 0 };
  for (let seed = firstSeed; performance.now() < end; seed += 1) {
    const failure = await runSeed(seed, total);
    if (failure !== undefined) return { ...total, failure };
  }
  return total;
}

async function runSeed(
  seed: number,
  total: { runs: number; steps: number; acknowledged: number; promotions: number },
): Promise<SoakFailure | undefined> {
  const property = fc.asyncProperty(fc.nat(), drawSteps(maxSteps), async (fleetSeed, steps) => {
    const report = await runSteps(fleetSeed, steps);
    total.runs += 1;
    total.steps += steps.length;
    total.acknowledged += report.acknowledged;
    total.promotions += report.promotions;
    if (report.violations.length > 0) throw new Error(report.violations.join("; "));
    if (!report.isHealed) throw new Error("no write was acknowledged after all faults had ended");
  });
  const details = await fc.check(property, { seed, numRuns: runsPerSeed });
  if (!details.failed) return undefined;
  const [fleetSeed, steps] = details.counterexample ?? [0, []];
  const path = details.counterexamplePath ?? "";
  return { seed, path, message: String(details.errorInstance), fleetSeed, steps };
}

/** A failure as text that one can read: how to draw it again, and each step on a line. */
export function formatFailure(failure: SoakFailure): string {
  const { seed, path, message, fleetSeed, steps } = failure;
  const head = `seed ${seed}, path ${path}, fleet seed ${fleetSeed}: ${message}`;
  return [head, ...steps.map((step, i) => `${i}: ${JSON.stringify(step)}`)].join("\n");
}
