import {
  applyAdmission,
  createAdmission,
  type Admission,
  type AdmissionEffect,
  type AdmissionEvent,
} from "../../src/controller/admission/index.js";
import { Agenda } from "./agenda.js";
import { createRandom, type BenchRandom } from "./random.js";
import {
  drawTeam,
  findGap,
  serviceMs,
  targetNames,
  type GroupShape,
  type Stream,
} from "./workload.js";

/** Where requests queue: at the group's owner, or at each proxy for itself. */
export type Arrangement = "owner" | "split";

/** One caller's request, over all of its tries. */
export interface Job {
  readonly id: string;
  readonly stream: Stream;
  readonly team: string;
  readonly proxy: number;
  readonly sentAt: number;
  triesLeft: number;
  triedAt: number;
  end?: { readonly type: "served" | "lost"; readonly at: number };
}

/** What one run of a group gives. */
export interface RunLog {
  readonly jobs: readonly Job[];
  /** Time from a try to its refusal, for each refusal. */
  readonly refusedAfterMs: readonly number[];
  /** Refusals that came after more than half of the wait that the rule allows. */
  readonly lateRefusals: number;
  readonly lastRefusalAt: number;
}

const proxies = 8;
const tickMs = 50;

/** One group in virtual time: callers, one queue or eight, and targets with slots. */
export class World {
  private readonly agenda = new Agenda();
  private readonly random: BenchRandom;
  private readonly queues: Admission[];
  private readonly busy = new Map<string, number>(targetNames.map((name) => [name, 0]));
  private readonly backlog = new Map<string, string[]>(targetNames.map((name) => [name, []]));
  private readonly live = new Map<string, Job>();
  private readonly jobs: Job[] = [];
  private readonly refusedAfterMs: number[] = [];
  private lateRefusals = 0;
  private lastRefusalAt = 0;

  constructor(
    private readonly shape: GroupShape,
    private readonly arrangement: Arrangement,
    seed: number,
  ) {
    this.random = createRandom(seed);
    const count = arrangement === "owner" ? 1 : proxies;
    this.queues = Array.from({ length: count }, () => createAdmission());
    const slots = Math.ceil(shape.slots / count);
    this.queues.forEach((_, queue) => {
      for (const target of targetNames) {
        const role = target === "p" ? "primary" : "replica";
        this.apply(queue, { type: "resize", at: 0, target, role, slots });
      }
      this.tick(queue);
    });
  }

  /** Sends a stream between two times. */
  send(stream: Stream, from: number, until: number): void {
    const gap = findGap(stream, this.shape);
    const next = from + this.random.drawExponential(gap);
    if (next >= until) return;
    this.agenda.add(next, () => {
      this.begin(stream);
      this.send(stream, next, until);
    });
  }

  /** Runs up to a time. */
  run(until: number): RunLog {
    this.agenda.run(until);
    const { jobs, refusedAfterMs, lateRefusals, lastRefusalAt } = this;
    return { jobs, refusedAfterMs, lateRefusals, lastRefusalAt };
  }

  private begin(stream: Stream): void {
    const job: Job = {
      id: String(this.jobs.length),
      stream,
      team: drawTeam(stream, this.random),
      proxy: Math.floor(this.random.draw() * proxies),
      sentAt: this.agenda.now,
      triesLeft: stream.tries,
      triedAt: this.agenda.now,
    };
    this.jobs.push(job);
    this.live.set(job.id, job);
    this.try(job);
  }

  /** With one queue, seven of eight requests take a hop to the owner and back. */
  private try(job: Job): void {
    const isForwarded = this.arrangement === "owner" && job.proxy !== 0;
    const hop = isForwarded ? this.shape.hopMs : 0;
    job.triesLeft -= 1;
    job.triedAt = this.agenda.now + hop;
    this.agenda.add(job.triedAt, () => {
      const { request, deadlineMs } = job.stream;
      const deadlineAt = job.sentAt + deadlineMs;
      const asked = { ...request, id: job.id, team: job.team, deadlineAt };
      this.apply(this.queueOf(job), { type: "arrive", at: this.agenda.now, request: asked });
    });
  }

  private queueOf(job: Job): number {
    return this.arrangement === "owner" ? 0 : job.proxy;
  }

  private tick(queue: number): void {
    this.apply(queue, { type: "tick", at: this.agenda.now });
    this.agenda.add(this.agenda.now + tickMs, () => this.tick(queue));
  }

  private apply(queue: number, event: AdmissionEvent): void {
    const state = this.queues[queue];
    if (state === undefined) return;
    const result = applyAdmission(state, event);
    if (result.type === "failed") throw new Error(result.failure);
    this.queues[queue] = result.state;
    result.effects.forEach((effect) => this.execute(effect));
  }

  private execute(effect: AdmissionEffect): void {
    switch (effect.type) {
      case "start":
        this.serve(effect.id, effect.target);
        return;
      case "refuse":
        this.refuse(effect.id, effect.retryAfterMs);
    }
  }

  /** A target works on as many statements as it has slots; more wait there in order of arrival. */
  private serve(id: string, target: string): void {
    const busy = this.busy.get(target) ?? 0;
    if (busy >= this.shape.slots) {
      this.backlog.get(target)?.push(id);
      return;
    }
    this.busy.set(target, busy + 1);
    const end = this.agenda.now + this.random.drawExponential(serviceMs);
    this.agenda.add(end, () => this.finish(id, target));
  }

  private finish(id: string, target: string): void {
    this.busy.set(target, (this.busy.get(target) ?? 0) - 1);
    const waiting = this.backlog.get(target)?.shift();
    if (waiting !== undefined) this.serve(waiting, target);
    const job = this.live.get(id);
    if (job === undefined) return;
    const isForwarded = this.arrangement === "owner" && job.proxy !== 0;
    const at = this.agenda.now + (isForwarded ? this.shape.hopMs : 0);
    const isLate = at > job.sentAt + job.stream.deadlineMs;
    this.end(job, { type: isLate ? "lost" : "served", at });
    this.apply(this.queueOf(job), { type: "finish", at: this.agenda.now, id });
  }

  private refuse(id: string, retryAfterMs: number): void {
    const job = this.live.get(id);
    if (job === undefined) return;
    const heldMs = this.agenda.now - job.triedAt;
    this.refusedAfterMs.push(heldMs);
    if (heldMs > job.stream.request.maxQueueMs / 2) this.lateRefusals += 1;
    this.lastRefusalAt = this.agenda.now;
    const next = this.agenda.now + retryAfterMs * (1 + this.random.draw() / 10);
    if (job.triesLeft === 0 || next >= job.sentAt + job.stream.deadlineMs) {
      this.end(job, { type: "lost", at: this.agenda.now });
      return;
    }
    this.agenda.add(next, () => this.try(job));
  }

  private end(job: Job, end: NonNullable<Job["end"]>): void {
    job.end = end;
    this.live.delete(job.id);
  }
}
