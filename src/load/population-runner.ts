import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../model/index.js";
import { generateArrivals, pickWeighted } from "./arrivals.js";
import type { Violation } from "./ledger.js";
import type { Population } from "./settings.js";
import { Tally } from "./tally.js";
import { runWork, workNames, type Caller, type WorkName } from "./work.js";

interface Arrival {
  readonly arrivedAt: number;
  readonly work: WorkName;
  /** The caller whose count a browsing request reads. */
  readonly other: Caller | undefined;
}

/** Times of a run, on the clock of `performance.now`; requests of the warm-up are not counted. */
export interface RunSchedule {
  readonly startAt: number;
  readonly warmUpMs: number;
  readonly durationMs: number;
}

/**
 * Runs the load of one population. Requests arrive at random times whether or not a caller is free
 * (an open workload); one that finds no free caller waits, and its latency counts from its arrival.
 */
export class PopulationRunner {
  readonly tallies: Readonly<Record<WorkName, Tally>>;
  private readonly idle: Caller[];
  private readonly waiting: Arrival[] = [];
  private running = 0;

  constructor(
    readonly population: Population,
    private readonly callers: readonly Caller[],
    private readonly random: Random,
    private readonly onViolation: (violation: Violation) => void,
  ) {
    this.idle = [...callers];
    const createTally = (work: WorkName) => new Tally(population.name, work);
    this.tallies = {
      reservation: createTally("reservation"),
      ownRead: createTally("ownRead"),
      browse: createTally("browse"),
    };
  }

  /** Number of requests that have arrived and not ended. */
  get unfinishedCount(): number {
    return this.waiting.length + this.running;
  }

  /** Generates arrivals until the schedule ends. Resolves then, while requests may still be in progress. */
  async run(schedule: RunSchedule): Promise<void> {
    const endMs = schedule.warmUpMs + schedule.durationMs;
    for (const at of generateArrivals(this.random, this.population.rate, endMs)) {
      const work = pickWeighted(this.random, this.population.work, workNames);
      const other = this.callers[Math.floor(this.random.draw() * this.callers.length)];
      const waitMs = schedule.startAt + at - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      this.waiting.push({ arrivedAt: schedule.startAt + at, work, other });
      this.startWaiting(schedule);
    }
  }

  private startWaiting(schedule: RunSchedule): void {
    for (;;) {
      const caller = this.waiting.length > 0 ? this.idle.shift() : undefined;
      const arrival = caller === undefined ? undefined : this.waiting.shift();
      if (caller === undefined || arrival === undefined) return;
      this.running += 1;
      void this.runRequest(caller, arrival, schedule);
    }
  }

  private async runRequest(
    caller: Caller,
    { arrivedAt, work, other }: Arrival,
    schedule: RunSchedule,
  ): Promise<void> {
    const sentAt = performance.now();
    const result = await runWork(work, caller, other ?? caller);
    const now = performance.now();
    if (arrivedAt >= schedule.startAt + schedule.warmUpMs) {
      this.tallies[work].record(result, now, now - arrivedAt, now - sentAt);
    }
    if (result.violation !== undefined) this.onViolation(result.violation);
    this.running -= 1;
    this.idle.push(caller);
    this.startWaiting(schedule);
  }
}
