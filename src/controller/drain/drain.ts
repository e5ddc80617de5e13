import { succeed, type StepResult } from "../../model/index.js";

/** How far a process is on its way out. */
export type DrainState =
  | { readonly type: "serving" }
  /** Not ready and announced as leaving, but still taking what arrives late. */
  | { readonly type: "announcing"; readonly since: number }
  /** No new callers; what is in flight finishes. */
  | { readonly type: "draining"; readonly since: number }
  | { readonly type: "drained" };

/** What happens; `now` is on the process's clock. */
export type DrainEvent =
  | { readonly type: "asked"; readonly now: number }
  | { readonly type: "counted"; readonly now: number; readonly inFlight: number };

/** What is to be done outside. */
export type DrainEffect =
  /** Turns not ready, tells the peers, hands ownership on. */
  | { readonly type: "announce" }
  /** Takes no new callers and ends idle sessions. */
  | { readonly type: "refuseNew" }
  /** Everything has finished: the process may end. */
  | { readonly type: "end" }
  /** The longest wait is over with requests in flight, which are cut off. */
  | { readonly type: "cutOff"; readonly inFlight: number };

/** Times of a drain in milliseconds. */
export interface DrainOptions {
  readonly announceMs: number;
  readonly limitMs: number;
}

/** What a process starts with. */
export const firstDrainState: DrainState = { type: "serving" };

/**
 * Applies one event. Callers that the balancer sends before it sees the page turn, and requests that
 * a peer forwards before it hears the news, still arrive for a while: refusing them at once would
 * break them, so nothing is refused until the announcement has had its time.
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
