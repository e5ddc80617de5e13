import { succeed, type StepResult } from "../../model/index.js";

/** The state of a graceful shutdown; `since` is on the process's clock. */
export type DrainState =
  | { readonly type: "serving" }
  /** Not ready and announced as leaving, but still accepting callers and requests. */
  | { readonly type: "announcing"; readonly since: number }
  /** No new callers are accepted; requests in flight finish. */
  | { readonly type: "draining"; readonly since: number }
  | { readonly type: "drained" };

/** An input of the drain; `now` is on the process's clock. */
export type DrainEvent =
  /** A shutdown was requested. */
  | { readonly type: "asked"; readonly now: number }
  /** A periodic count of the requests in flight. */
  | { readonly type: "counted"; readonly now: number; readonly inFlight: number };

/** An action that the caller carries out. */
export type DrainEffect =
  /** Reports not ready, tells the peers that this VM is leaving, and hands over ownership. */
  | { readonly type: "announce" }
  /** Refuses new callers and ends idle sessions. */
  | { readonly type: "refuseNew" }
  /** The drain is over: the process may end. */
  | { readonly type: "end" }
  /** The time limit passed with requests still in flight, which are aborted. */
  | { readonly type: "cutOff"; readonly inFlight: number };

/** Durations of a drain in milliseconds. */
export interface DrainOptions {
  /** How long callers and requests are still accepted after the announcement. */
  readonly announceMs: number;
  /** How long requests in flight may take after that. */
  readonly limitMs: number;
}

/** The state of a process at the start. */
export const initialDrainState: DrainState = { type: "serving" };

/**
 * Applies one event. For a while, callers still arrive from a load balancer that has not yet seen
 * the readiness page change, and requests from peers that have not yet received the announcement.
 * Refusing them at once would fail them, so nothing is refused until `announceMs` has passed.
 */
export function applyDrainEvent(
  state: DrainState,
  event: DrainEvent,
  options: DrainOptions,
): StepResult<DrainState, DrainEffect, never> {
  switch (event.type) {
    case "asked":
      if (state.type !== "serving") return succeed(state);
      return succeed({ type: "announcing", since: event.now }, [{ type: "announce" }]);
    case "counted":
      return applyCount(state, event.now, event.inFlight, options);
  }
}

function applyCount(
  state: DrainState,
  now: number,
  inFlight: number,
  { announceMs, limitMs }: DrainOptions,
): StepResult<DrainState, DrainEffect, never> {
  switch (state.type) {
    case "serving":
    case "drained":
      return succeed(state);
    case "announcing":
      if (now - state.since < announceMs) return succeed(state);
      return succeed({ type: "draining", since: now }, [{ type: "refuseNew" }]);
    case "draining":
      if (inFlight === 0) return succeed({ type: "drained" }, [{ type: "end" }]);
      if (now - state.since < limitMs) return succeed(state);
      return succeed({ type: "drained" }, [{ type: "cutOff", inFlight }, { type: "end" }]);
  }
}
