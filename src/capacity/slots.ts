import {
  applyAdmission,
  countFreeSlots,
  createAdmission,
  listWaitingOnlyFor,
  estimateWait,
  summariseAdmission,
  type Admission,
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionRequest,
  type AdmissionSummary,
  type RequestProfile,
} from "../controller/admission/index.js";
import type { Clock, Disposable, NotRunReason } from "../model/index.js";
import { Ticker } from "./ticker.js";
import { Waiters } from "./waiters.js";

/** When a request that gave up its place, or met an ending queue, may come back, in milliseconds. */
const refusedRetryMs = 50;

/** How long a statement whose caller gave up is taken to hold its slot on, in milliseconds. */
const abandonedHoldMs = 1000;

/** What came of asking for a slot. */
export type SlotResult =
  | { readonly type: "started"; readonly slot: Slot }
  | { readonly type: "refused"; readonly reason: NotRunReason; readonly retryAfterMs: number };

/** A slot of a target, held until the statement has left it. */
export interface Slot {
  readonly target: string;
  release(): void;
  /** The statement may go on at the target without its caller. */
  abandon(): void;
}

/** The admission queue of one group: the pure controller with its timer and its waiters. */
export class SlotQueue implements Disposable {
  private admission: Admission = createAdmission();
  private readonly waiters = new Waiters<SlotResult>();
  private readonly ticker = new Ticker(() => {
    this.apply({ type: "tick", at: this.clock.now() });
  });

  constructor(private readonly clock: Clock) {}

  /** Waits for a slot. An aborted signal gives up the place in the queue. */
  acquire(request: AdmissionRequest, signal: AbortSignal): Promise<SlotResult> {
    const ask = () => {
      this.apply({ type: "arrive", at: this.clock.now(), request });
    };
    const giveUp = () => {
      this.giveUp(request.id);
    };
    return this.waiters.wait(request.id, signal, ask, giveUp);
  }

  /** Sets a target's slots; 0 while it takes no work, with the time when it is expected back. */
  resize(target: string, role: "primary" | "replica", slots: number, backInMs?: number): void {
    const back = backInMs === undefined ? {} : { backInMs };
    this.apply({ type: "resize", at: this.clock.now(), target, role, slots, ...back });
  }

  /** Lets other targets serve a request that still waits. */
  retarget(id: string, candidates: readonly string[]): void {
    if (!this.waiters.has(id)) return;
    this.apply({ type: "retarget", at: this.clock.now(), id, candidates });
  }

  /** Refuses what waits for a target alone, so that it may be placed anew. */
  evict(target: string): void {
    for (const id of listWaitingOnlyFor(this.admission, target)) {
      this.refuse(id, "noPrimary", 0);
      this.apply({ type: "cancel", at: this.clock.now(), id });
    }
  }

  /** Requests that wait for a target alone. */
  countWaitingFor(target: string): number {
    return listWaitingOnlyFor(this.admission, target).length;
  }

  countFree(target: string): number {
    return countFreeSlots(this.admission, target);
  }

  /** The wait that the queue implies, in milliseconds. */
  measureWaitMs(question: RequestProfile): number {
    return estimateWait(this.admission, question, this.clock.now()).waitMs;
  }

  summarise(): AdmissionSummary {
    return summariseAdmission(this.admission);
  }

  dispose(): void {
    this.ticker.dispose();
    for (const id of this.waiters.listIds()) this.refuse(id, "draining", refusedRetryMs);
  }

  private apply(event: AdmissionEvent): void {
    const applied = applyAdmission(this.admission, event);
    if (applied.type === "failed") {
      if (event.type === "arrive") this.refuse(event.request.id, "overloaded", refusedRetryMs);
      return;
    }
    this.admission = applied.state;
    for (const effect of applied.effects) this.execute(effect);
    this.ticker.setNeeded(this.waiters.size > 0);
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
    const slot = this.createSlot(id, target);
    if (!this.waiters.settle(id, { type: "started", slot })) slot.release();
  }

  private createSlot(id: string, target: string): Slot {
    let isHeld = true;
    const end = (ending: () => void) => {
      if (isHeld) ending();
      isHeld = false;
    };
    return {
      target,
      release: () => {
        end(() => {
          this.finish(id);
        });
      },
      abandon: () => {
        end(() => {
          this.apply({ type: "cancel", at: this.clock.now(), id });
          setTimeout(() => {
            this.finish(id);
          }, abandonedHoldMs).unref();
        });
      },
    };
  }

  private refuse(id: string, reason: NotRunReason, retryAfterMs: number): void {
    this.waiters.settle(id, { type: "refused", reason, retryAfterMs });
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
