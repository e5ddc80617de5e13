import {
  applyAdmission,
  createAdmission,
  type Admission,
  type AdmissionEffect,
  type AdmissionEvent,
} from "../../src/controller/admission/index.js";
import { Agenda } from "../admission/agenda.js";
import {
  primaryTarget,
  replicaTargets,
  slotsPerTarget,
  type Arrival,
  type KindShape,
} from "./workload.js";

/** How the queue orders statements: by the fixed classes, or by levels in one of two ways. */
export type Order = "classes" | "teamFirst" | "objectiveFirst";

/** The orders in which each load is run. */
export const orders: readonly Order[] = ["classes", "teamFirst", "objectiveFirst"];

/** What became of one statement. Times are from its arrival at the entry node, in milliseconds. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly answeredAfterMs: number | undefined;
  /** How long after each try it was refused. */
  readonly refusedAfterMs: readonly number[];
}

/** The time between two ticks of the queue, as in a process. */
const tickMs = 50;
/** One way between an entry node and the gateway. */
const hopMs = 0.9;
/** Callers send a refused statement again until its deadline, at most so often in all. */
const maxTries = 3;

interface Job {
  readonly arrival: Arrival;
  readonly refusedAfterMs: number[];
  triesLeft: number;
  triedAt: number;
}

/** One group's gateway and targets in virtual time. */
export class World {
  private readonly agenda = new Agenda();
  private readonly jobs = new Map<string, Job>();
  private readonly outcomes: Outcome[] = [];
  private admission: Admission;
  private nextId = 1;

  constructor(private readonly order: Order) {
    const levelOrder = order === "objectiveFirst" ? "objectiveFirst" : "teamFirst";
    this.admission = createAdmission({ levelOrder });
    for (const target of [primaryTarget, ...replicaTargets]) {
      const role = target === primaryTarget ? "primary" : "replica";
      this.apply({ type: "resize", at: 0, target, role, slots: slotsPerTarget });
    }
  }

  /** Runs the statements to their ends. */
  run(arrivals: readonly Arrival[], untilMs: number): readonly Outcome[] {
    for (const arrival of arrivals) {
      const job = { arrival, triesLeft: maxTries, triedAt: arrival.at, refusedAfterMs: [] };
      this.agenda.add(arrival.at, () => this.try(job));
    }
    for (let at = tickMs; at < untilMs; at += tickMs) {
      this.agenda.add(at, () => this.apply({ type: "tick", at: this.agenda.now }));
    }
    this.agenda.run(untilMs);
    return this.outcomes;
  }

  private try(job: Job): void {
    const id = `q${this.nextId++}`;
    job.triesLeft -= 1;
    job.triedAt = this.agenda.now;
    this.jobs.set(id, job);
    this.agenda.add(this.agenda.now + hopMs, () => {
      const at = this.agenda.now;
      this.apply({ type: "arrive", at, request: this.createRequest(id, job.arrival) });
    });
  }

  private createRequest(id: string, { at, shape, team, needsPrimary }: Arrival) {
    const { level, objectiveMs, deadlineMs, priority } = shape;
    const fields = this.order === "classes" ? {} : { level, objectiveAt: at + objectiveMs - hopMs };
    return {
      id,
      team,
      plan: "paying" as const,
      priority,
      ...fields,
      candidates: needsPrimary ? [primaryTarget] : [...replicaTargets],
      deadlineAt: at + deadlineMs - hopMs,
      maxQueueMs: computeMaxQueueMs(shape),
    };
  }

  private apply(event: AdmissionEvent): void {
    const result = applyAdmission(this.admission, event);
    if (result.type === "failed") throw new Error(result.failure);
    this.admission = result.state;
    for (const effect of result.effects) this.execute(effect);
  }

  private execute(effect: AdmissionEffect): void {
    const job = this.jobs.get(effect.id);
    if (job === undefined) throw new Error(`the request ${effect.id} is unknown`);
    switch (effect.type) {
      case "start":
        this.agenda.add(this.agenda.now + job.arrival.serviceMs, () => this.finish(effect.id, job));
        return;
      case "refuse":
        this.jobs.delete(effect.id);
        this.handleRefusal(job, effect.retryAfterMs);
    }
  }

  private finish(id: string, job: Job): void {
    this.jobs.delete(id);
    const { arrival, refusedAfterMs } = job;
    const answeredAfterMs = this.agenda.now + hopMs - arrival.at;
    const isInDeadline = answeredAfterMs <= arrival.shape.deadlineMs;
    this.outcomes.push({
      arrival,
      answeredAfterMs: isInDeadline ? answeredAfterMs : undefined,
      refusedAfterMs,
    });
    this.apply({ type: "finish", at: this.agenda.now, id });
  }

  private handleRefusal(job: Job, retryAfterMs: number): void {
    const { arrival, refusedAfterMs } = job;
    refusedAfterMs.push(this.agenda.now + hopMs - job.triedAt);
    const next = this.agenda.now + 2 * hopMs + retryAfterMs;
    if (job.triesLeft > 0 && next < arrival.at + arrival.shape.deadlineMs) {
      this.agenda.add(next, () => this.try(job));
    } else this.outcomes.push({ arrival, answeredAfterMs: undefined, refusedAfterMs });
  }
}

/** The rule of the platform's routes: the objective or half of the deadline, whichever is longer. */
export function computeMaxQueueMs({ objectiveMs, deadlineMs }: KindShape): number {
  return Math.min(deadlineMs, Math.max(objectiveMs, deadlineMs / 2));
}
