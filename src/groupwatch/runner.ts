import {
  applyEvent,
  createFailoverState,
  type FailoverEffect,
  type FailoverEvent,
  type FailoverOptions,
  type FailoverState,
  findWakeAt,
} from "../controller/failover/index.js";
import type { Clock, Random } from "../model/index.js";

type WithoutTimeAndDraw<T> = T extends unknown ? Omit<T, "at" | "draw"> : never;

/** An event without its time and random draw, which the runner adds. */
export type UntimedEvent = WithoutTimeAndDraw<FailoverEvent>;

/** Receivers of the controller's effects and state changes. */
export interface RunnerHooks {
  readonly onEffect: (effect: FailoverEffect, at: number) => void;
  readonly onChange: (state: FailoverState) => void;
}

/** Applies events to one group's controller in order of arrival, and drives its timer. */
export class ControllerRunner {
  private current: FailoverState;
  private timer: { readonly at: number; readonly stop: AbortController } | undefined;
  private isStopped = false;

  constructor(
    options: FailoverOptions,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly hooks: RunnerHooks,
  ) {
    this.current = createFailoverState(options, clock.now());
  }

  get state(): FailoverState {
    return this.current;
  }

  apply(event: UntimedEvent): void {
    if (this.isStopped) return;
    const at = this.clock.now();
    const applied = applyEvent(this.current, { ...event, at, draw: this.random.draw() });
    if (applied.type === "failed") return;
    const isChanged = applied.state !== this.current;
    this.current = applied.state;
    for (const effect of applied.effects) this.hooks.onEffect(effect, at);
    if (isChanged) this.hooks.onChange(this.current);
    this.setTimer(at);
  }

  dispose(): void {
    this.isStopped = true;
    this.timer?.stop.abort();
  }

  /** Sets the timer for the next tick. An earlier timer is kept: its tick has no effect and sets the timer again. */
  private setTimer(now: number): void {
    const at = Math.max(findWakeAt(this.current), now + 1);
    if (this.isStopped || (this.timer !== undefined && this.timer.at <= at)) return;
    this.timer?.stop.abort();
    const timer = { at, stop: new AbortController() };
    this.timer = timer;
    this.clock.sleep(at - now, timer.stop.signal).then(
      () => {
        if (this.timer === timer) this.timer = undefined;
        this.apply({ type: "ticked" });
      },
      () => undefined,
    );
  }
}
