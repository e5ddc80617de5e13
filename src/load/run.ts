import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "./arrivals.js";
import { PopulationRunner } from "./population-runner.js";
import { SessionLedger, type Violation } from "./ledger.js";
import { LoadSession } from "./session.js";
import type { LoadSettings, Population } from "./settings.js";
import { countRequests, type TallyReport } from "./tally.js";
import { createTable, readOwn, registerCaller, type Caller } from "./work.js";

/** The figures of a whole run. */
export interface LoadReport {
  readonly seed: number;
  readonly durationMs: number;
  /** From the end of the warm-up until the last request had ended, or was given up. */
  readonly elapsedMs: number;
  readonly tallies: readonly TallyReport[];
  readonly violations: {
    readonly readYourWrites: number;
    readonly atMostOnce: number;
    /** The first few. */
    readonly samples: readonly Violation[];
  };
  /** Requests that had not ended when the run was given up. */
  readonly unfinished: number;
  /** Sessions whose last check could not be made. */
  readonly unverified: number;
}

/** Why a run could not begin. */
export class SetUpError extends Error {
  override readonly name = "SetUpError";
}

const maxSamples = 20;
const drainMs = 10_000;
const drainStepMs = 20;
const setUpAttempts = 20;
const setUpPauseMs = 250;

/** Runs the load against the entries and checks what its sessions see. */
export async function runLoad(settings: LoadSettings, runId: string): Promise<LoadReport> {
  const violations: Violation[] = [];
  const onViolation = (violation: Violation) => void violations.push(violation);
  const groups = settings.populations.map((p) => buildCallers(settings, p, runId));
  const callers = groups.flat();
  try {
    await setUp(settings, groups);
    const crowds = settings.populations.map((population, i) => {
      const random = createRandom(settings.seed, i);
      return new PopulationRunner(population, groups[i] ?? [], random, onViolation);
    });
    const startAt = performance.now();
    const unfinished = await runCrowds(settings, crowds, startAt);
    const elapsedMs = performance.now() - startAt - settings.warmUp;
    const unverified = await verifyAll(callers, onViolation);
    const tallies = crowds.flatMap((c) => Object.values(c.tallies)).map((t) => t.report);
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
  const done = new Set<string>();
  for (const [i, population] of settings.populations.entries()) {
    const [first] = groups[i] ?? [];
    if (first === undefined || done.has(population.group)) continue;
    done.add(population.group);
    await retry(() => createTable(first));
  }
  await Promise.all(groups.flat().map((caller) => retry(() => registerCaller(caller))));
}

async function retry(ask: () => ReturnType<typeof createTable>): Promise<void> {
  let answer = await ask();
  for (let i = 1; answer.type !== "landed" && i < setUpAttempts; i++) {
    await sleep(setUpPauseMs);
    answer = await ask();
  }
  if (answer.type !== "landed") throw new SetUpError(`set-up failed: ${answer.errorCode}`);
}

async function runCrowds(
  settings: LoadSettings,
  crowds: readonly PopulationRunner[],
  startAt: number,
): Promise<number> {
  const span = {
    startAt,
    warmUpMs: settings.warmUp,
    durationMs: settings.duration,
  };
  await Promise.all(crowds.map((c) => c.run(span)));
  const countOpen = () => crowds.reduce((sum, c) => sum + c.unfinishedCount, 0);
  const giveUpAt = performance.now() + drainMs;
  while (countOpen() > 0 && performance.now() < giveUpAt) await sleep(drainStepMs);
  return countOpen();
}

/** Lets every session read its own count once more. */
async function verifyAll(
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
