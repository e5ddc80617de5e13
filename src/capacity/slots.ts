import {
  applyAdmission,
  countFreeSlots,
  countWaitingForConnection,
  createAdmission,
  listResuming,
  listSlotUse,
  listWaitingOnlyFor,
  estimateWait,
  previewRequest,
  summariseAdmission,
  summariseQueue,
  type Admission,
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionRequest,
  type AdmissionSummary,
  type QueueSummary,
  type RequestPreview,
  type RequestProfile,
  type SlotUse,
} from "../controller/admission/index.js";
import type { Clock, Disposable, NotRunReason } from "../model/index.js";
import { Ticker } from "./ticker.js";
import { Waiters } from "./waiters.js";

/**
 * The retry delay for a request that left the queue, or that the queue does not accept or serve any
 * more, in milliseconds.
 */
const refusedRetryMs = 50;

/** How long a statement whose caller gave up is assumed to occupy its slot, in milliseconds. */
const abandonedHoldMs = 1000;

/** The result of waiting for a slot. */
export type SlotResult =
  | { readonly type: "started"; readonly slot: Slot }
  | { readonly type: "refused"; readonly reason: NotRunReason; readonly retryAfterMs: number };

/** The result of waiting for a slot again. */
export type ResumeResult =
  | { readonly type: "started"; readonly waitedMs: number }
  | { readonly type: "refused"; readonly reason: NotRunReason; readonly retryAfterMs: number };

/** A slot of a target, held until the statement has ended there. */
export interface Slot {
  readonly target: string;
  release(): void;
  /** Whether the slot was given back by `pause` and not taken again. */
  readonly isPaused: boolean;
  /** Gives the slot back for as long as its holder keeps a connection without running a statement. */
  pause(): void;
  /**
   * Waits for a slot of the same target again, before all requests that wait for their first one. When it is
   * refused, at the deadline or as the signal aborts, the slot stays paused.
   */
  resume(deadlineAt: number, signal: AbortSignal): Promise<ResumeResult>;
  /**
   * Releases the slot after a delay, for a caller that gave up while its statement may still run at the
   * target.
   */
  abandon(): void;
}

/** The end of the wait of a request with a level, for metrics. */
export interface SlotWait {
  readonly level: number;
  readonly waitMs: number;
  /** Why it was refused; absent if it got a slot. */
  readonly refusedFor?: NotRunReason;
}

/** The admission queue of one group. Binds the pure controller to a timer and to the waiting requests. */
export class SlotQueue implements Disposable {
  private admission: Admission = createAdmission();
  private readonly waiters = new Waiters<SlotResult>();
  private readonly resuming = new Waiters<ResumeResult>();
  private readonly ticker = new Ticker(() => {
    this.apply({ type: "tick", at: this.clock.now() });
  });

  constructor(
    private readonly clock: Clock,
    private readonly onWaitEnd: (wait: SlotWait) => void = () => undefined,
  ) {}

  /** Waits for a slot. Aborting the signal removes the request from the queue. */
  acquire(request: AdmissionRequest, signal: AbortSignal): Promise<SlotResult> {
    const submit = () => {
      this.apply({ type: "arrive", at: this.clock.now(), request });
    };
    const giveUp = () => {
      this.giveUp(request.id);
    };
    const result = this.waiters.wait(request.id, signal, submit, giveUp);
    if (request.level !== undefined) void this.observe(request.level, result);
    return result;
  }

  /**
   * Sets a target's slots and role. A target that takes no work has 0 slots; `readyInMs` is then the time
   * until it is expected to have some, and undefined if none are expected. With `connections`, a request gets a
   * slot only if a connection is left for it besides those of paused slots.
   */
  resize(
    target: string,
    role: "primary" | "replica",
    slots: number,
    readyInMs?: number,
    connections = Infinity,
  ): void {
    const ready = readyInMs === undefined ? {} : { readyInMs };
    const at = this.clock.now();
    this.apply({ type: "resize", at, target, role, slots, connections, ...ready });
  }

  /** Replaces the candidate targets of a request that is still waiting. */
  retarget(id: string, candidates: readonly string[]): void {
    if (!this.waiters.has(id)) return;
    this.apply({ type: "retarget", at: this.clock.now(), id, candidates });
  }

  /** Refuses the requests that wait for this target alone, so that their callers can place them again. */
  evict(target: string): void {
    for (const id of listWaitingOnlyFor(this.admission, target)) {
      this.refuse(id, "noPrimary", 0);
      this.apply({ type: "cancel", at: this.clock.now(), id });
    }
    for (const id of listResuming(this.admission, target)) this.stopResuming(id, "noPrimary", 0);
  }

  /** Counts the paused slots of a target whose holders wait for a slot again. */
  countResuming(target: string): number {
    return listResuming(this.admission, target).length;
  }

  /** Counts the requests that only lack a connection which holders of paused slots have. */
  countWaitingForConnection(target: string): number {
    return countWaitingForConnection(this.admission, target);
  }

  /** The use of each target's slots. */
  listUse(): readonly SlotUse[] {
    return listSlotUse(this.admission);
  }

  /** Counts the requests that wait for this target alone. */
  countWaitingOnlyFor(target: string): number {
    return listWaitingOnlyFor(this.admission, target).length;
  }

  countFree(target: string): number {
    return countFreeSlots(this.admission, target);
  }

  /** Estimates how long a request that arrives now would wait for a slot, in milliseconds. */
  estimateWaitMs(request: RequestProfile): number {
    return estimateWait(this.admission, request, this.clock.now()).waitMs;
  }

  /** Estimates what would become of a request that arrived now, without adding it to the queue. */
  preview(request: Omit<AdmissionRequest, "id">): RequestPreview {
    return previewRequest(this.admission, request, this.clock.now());
  }

  summarise(): AdmissionSummary {
    return summariseAdmission(this.admission);
  }

  /** Summarises the queue before some targets, for the log. */
  summariseQueue(targets: readonly string[]): QueueSummary {
    return summariseQueue(this.admission, targets, this.clock.now());
  }

  dispose(): void {
    this.ticker.dispose();
    for (const id of this.waiters.listIds()) this.refuse(id, "draining", refusedRetryMs);
    for (const id of this.resuming.listIds()) this.stopResuming(id, "draining", refusedRetryMs);
  }

  private async observe(level: number, result: Promise<SlotResult>): Promise<void> {
    const askedAt = this.clock.now();
    const end = await result;
    const refused = end.type === "refused" ? { refusedFor: end.reason } : {};
    this.onWaitEnd({ level, waitMs: this.clock.now() - askedAt, ...refused });
  }

  private apply(event: AdmissionEvent): void {
    const applied = applyAdmission(this.admission, event);
    if (applied.type === "failed") {
      if (event.type === "arrive") this.refuse(event.request.id, "overloaded", refusedRetryMs);
      if (event.type === "resume") this.refuse(event.id, "overloaded", refusedRetryMs);
      return;
    }
    this.admission = applied.state;
    for (const effect of applied.effects) this.execute(effect);
    this.ticker.setRunning(this.waiters.size + this.resuming.size > 0);
  }

  private execute(effect: AdmissionEffect): void {
    switch (effect.type) {
      case "start":
        this.start(effect.id, effect.target);
        break;
      case "refuse":
        this.refuse(effect.id, effect.reason, effect.retryAfterMs);
        break;
    }
  }

  private start(id: string, target: string): void {
    if (this.resuming.settle(id, { type: "started", waitedMs: 0 })) return;
    const slot = this.createSlot(id, target);
    if (!this.waiters.settle(id, { type: "started", slot })) slot.release();
  }

  private createSlot(id: string, target: string): Slot {
    let isHeld = true;
    let isPaused = false;
    const endOnce = (end: () => void) => {
      if (isHeld) end();
      isHeld = false;
    };
    return {
      target,
      get isPaused() {
        return isPaused;
      },
      pause: () => {
        if (!isHeld || isPaused) return;
        isPaused = true;
        this.apply({ type: "pause", at: this.clock.now(), id });
      },
      resume: async (deadlineAt, signal) => {
        if (!isHeld || !isPaused) return { type: "started", waitedMs: 0 };
        const askedAt = this.clock.now();
        const result = await this.waitToResume(id, deadlineAt, signal);
        if (result.type === "refused") return result;
        isPaused = false;
        return { type: "started", waitedMs: this.clock.now() - askedAt };
      },
      release: () => {
        endOnce(() => {
          this.stopResuming(id, "overloaded", refusedRetryMs);
          this.finish(id);
        });
      },
      abandon: () => {
        endOnce(() => {
          this.apply({ type: "cancel", at: this.clock.now(), id });
          setTimeout(() => {
            this.finish(id);
          }, abandonedHoldMs).unref();
        });
      },
    };
  }

  /** Waits until the deadline itself: an answer after the next tick would reach a caller that has given up. */
  private async waitToResume(
    id: string,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<ResumeResult> {
    const submit = () => {
      this.apply({ type: "resume", at: this.clock.now(), id, deadlineAt });
    };
    const giveUp = () => {
      this.stopResuming(id, "deadline", refusedRetryMs);
    };
    const result = this.resuming.wait(id, signal, submit, giveUp);
    if (!this.resuming.has(id)) return result;
    const timer = setTimeout(giveUp, Math.max(0, Math.ceil(deadlineAt - this.clock.now()))).unref();
    try {
      return await result;
    } finally {
      clearTimeout(timer);
    }
  }

  private stopResuming(id: string, reason: NotRunReason, retryAfterMs: number): void {
    if (!this.resuming.settle(id, { type: "refused", reason, retryAfterMs })) return;
    this.apply({ type: "cancel", at: this.clock.now(), id });
  }

  private refuse(id: string, reason: NotRunReason, retryAfterMs: number): void {
    const refused = { type: "refused", reason, retryAfterMs } as const;
    if (!this.resuming.settle(id, refused)) this.waiters.settle(id, refused);
  }

  private giveUp(id: string): void {
    if (!this.waiters.has(id)) return;
    this.refuse(id, "deadline", refusedRetryMs);
    this.apply({ type: "cancel", at: this.clock.now(), id });
  }

  private finish(id: string): void {
    this.apply({ type: "finish", at: this.clock.now(), id });
  }
}
