import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "./arrivals.js";
import { PopulationRunner } from "./population-runner.js";
import { SessionLedger, type Violation } from "./ledger.js";
import { LoadSession } from "./session.js";
import type { LoadSettings, Population } from "./settings.js";
import { countRequests, type TallyReport } from "./tally.js";
import { createTable, readOwn, registerCaller, type Caller } from "./work.js";

/** The results of a whole run. */
export interface LoadReport {
  readonly seed: number;
  readonly durationMs: number;
  /** From the end of the warm-up until the last request ended, or until the wait for it timed out. */
  readonly elapsedMs: number;
  readonly tallies: readonly TallyReport[];
  readonly violations: {
    readonly readYourWrites: number;
    readonly atMostOnce: number;
    /** The first violations, at most 20. */
    readonly samples: readonly Violation[];
  };
  /** Number of requests that had not ended when the wait for them timed out. */
  readonly unfinished: number;
  /** Number of sessions whose final check failed to read the count. */
  readonly unverified: number;
}

/** Thrown when a run could not start; the message has the last error. */
export class SetUpError extends Error {
  override readonly name = "SetUpError";
}

const maxSamples = 20;
const maxDrainMs = 10_000;
const drainPollMs = 20;
const setUpAttempts = 20;
const setUpRetryMs = 250;

/**
 * Runs the load against the entries and checks the consistency of what its sessions read. Rejects with
 * `SetUpError` when the table or its rows could not be created.
 */
export async function runLoad(settings: LoadSettings, runId: string): Promise<LoadReport> {
  const violations: Violation[] = [];
  const onViolation = (violation: Violation) => void violations.push(violation);
  const groups = settings.populations.map((p) => buildCallers(settings, p, runId));
  const callers = groups.flat();
  try {
    await setUp(settings, groups);
    const runners = settings.populations.map((population, i) => {
      const random = createRandom(settings.seed, i);
      return new PopulationRunner(population, groups[i] ?? [], random, onViolation);
    });
    const startAt = performance.now();
    const unfinished = await runPopulations(settings, runners, startAt);
    const elapsedMs = performance.now() - startAt - settings.warmUp;
    const unverified = await verifyCounts(callers, onViolation);
    const tallies = runners.flatMap((runner) => Object.values(runner.tallies)).map((t) => t.report);
    return {
      seed: settings.seed,
      durationMs: settings.duration,
      elapsedMs,
      tallies: tallies.filter((t) => countRequests(t) > 0),
      violations: summariseViolations(violations),
      unfinished,
      unverified,
    };
  } finally {
    await Promise.all(callers.map((c) => c.session.close()));
  }
}

function buildCallers(
  settings: LoadSettings,
  population: Population,
  runId: string,
): readonly Caller[] {
  const { team, group, roamEvery, attempts } = population;
  const shared = { team, group, roamEvery, entries: settings.entries };
  return Array.from({ length: population.sessions }, (_, i) => {
    const name = `${runId}-${population.name}-${i}`;
    const timeoutMs = settings.requestTimeout;
    const tls = settings.tlsCa === undefined ? {} : { ca: settings.tlsCa };
    const session = new LoadSession({ ...shared, ...tls, name, timeoutMs }, i);
    return { session, ledger: new SessionLedger(name), attempts, nextKey: 1 };
  });
}

async function setUp(
  settings: LoadSettings,
  groups: readonly (readonly Caller[])[],
): Promise<void> {
  const preparedGroups = new Set<string>();
  for (const [i, population] of settings.populations.entries()) {
    const [first] = groups[i] ?? [];
    if (first === undefined || preparedGroups.has(population.group)) continue;
    preparedGroups.add(population.group);
    await retry(() => createTable(first));
  }
  await Promise.all(groups.flat().map((caller) => retry(() => registerCaller(caller))));
}

async function retry(send: () => ReturnType<typeof createTable>): Promise<void> {
  let outcome = await send();
  for (let i = 1; outcome.type !== "landed" && i < setUpAttempts; i++) {
    await sleep(setUpRetryMs);
    outcome = await send();
  }
  if (outcome.type !== "landed")
    throw new SetUpError(`set-up failed after ${setUpAttempts} attempts: ${outcome.errorCode}`);
}

async function runPopulations(
  settings: LoadSettings,
  runners: readonly PopulationRunner[],
  startAt: number,
): Promise<number> {
  const schedule = {
    startAt,
    warmUpMs: settings.warmUp,
    durationMs: settings.duration,
  };
  await Promise.all(runners.map((runner) => runner.run(schedule)));
  const countUnfinished = () => runners.reduce((sum, runner) => sum + runner.unfinishedCount, 0);
  const deadlineAt = performance.now() + maxDrainMs;
  while (countUnfinished() > 0 && performance.now() < deadlineAt) await sleep(drainPollMs);
  return countUnfinished();
}

/** Reads each session's own count once more. Returns the number of sessions whose read failed. */
async function verifyCounts(
  callers: readonly Caller[],
  onViolation: (violation: Violation) => void,
): Promise<number> {
  const results = await Promise.all(callers.map(readOwn));
  for (const { violation } of results) if (violation !== undefined) onViolation(violation);
  return results.filter((r) => r.type !== "landed").length;
}

function summariseViolations(violations: readonly Violation[]): LoadReport["violations"] {
  const count = (invariant: Violation["invariant"]) =>
    violations.filter((v) => v.invariant === invariant).length;
  return {
    readYourWrites: count("readYourWrites"),
    atMostOnce: count("atMostOnce"),
    samples: violations.slice(0, maxSamples),
  };
}
