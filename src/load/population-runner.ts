import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../model/index.js";
import { generateArrivals, pickWeighted } from "./arrivals.js";
import type { Violation } from "./ledger.js";
import type { Population } from "./settings.js";
import { Tally } from "./tally.js";
import { runWork, workNames, type Caller, type WorkName } from "./work.js";

interface Arrival {
  readonly at: number;
  readonly work: WorkName;
  /** Whose count a browsing request reads. */
  readonly peer: Caller | undefined;
}

/** When a run begins, counts and ends, on the clock of `performance.now`. */
export interface RunSchedule {
  readonly startAt: number;
  readonly warmUpMs: number;
  readonly durationMs: number;
}

/**
 * The callers of one population. Requests arrive at their own times whether or not a caller is
 * free; one that finds none waits, and its latency counts from when it arrived.
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
    const make = (work: WorkName) => new Tally(population.name, work);
    this.tallies = {
      reservation: make("reservation"),
      ownRead: make("ownRead"),
      browse: make("browse"),
    };
  }

  /** Requests that have arrived and not ended. */
  get unfinishedCount(): number {
    return this.waiting.length + this.running;
  }

  /** Lets requests arrive until the span is over; those in flight may go on. */
  async run(span: RunSchedule): Promise<void> {
    const endMs = span.warmUpMs + span.durationMs;
    for (const at of generateArrivals(this.random, this.population.rate, endMs)) {
      const work = pickWeighted(this.random, this.population.work, workNames);
      const peer = this.callers[Math.floor(this.random.draw() * this.callers.length)];
      const ms = span.startAt + at - performance.now();
      if (ms > 0) await sleep(ms);
      this.waiting.push({ at: span.startAt + at, work, peer });
      this.begin(span);
    }
  }

  private begin(span: RunSchedule): void {
    for (;;) {
      const caller = this.waiting.length > 0 ? this.idle.shift() : undefined;
      const arrival = caller === undefined ? undefined : this.waiting.shift();
      if (caller === undefined || arrival === undefined) return;
      this.running += 1;
      void this.serve(caller, arrival, span);
    }
  }

  private async serve(
    caller: Caller,
    { at, work, peer }: Arrival,
    span: RunSchedule,
  ): Promise<void> {
    const sentAt = performance.now();
    const result = await runWork(work, caller, peer ?? caller);
    const now = performance.now();
    if (at >= span.startAt + span.warmUpMs) {
      this.tallies[work].record(result, now, now - at, now - sentAt);
    }
    if (result.violation !== undefined) this.onViolation(result.violation);
    this.running -= 1;
    this.idle.push(caller);
    this.begin(span);
  }
}
