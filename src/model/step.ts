/**
 * The result of applying a step to an immutable state: the next state with what is to be done
 * outside, or a failure that leaves the old state as it was.
 */
export type StepResult<S, E, F = string> =
  | { readonly type: "applied"; readonly state: S; readonly effects: readonly E[] }
  | { readonly type: "failed"; readonly failure: F };

/** Builds a successful result. */
export function succeed<S, E>(
  state: S,
  effects: readonly E[] = [],
): { readonly type: "applied"; readonly state: S; readonly effects: readonly E[] } {
  return { type: "applied", state, effects };
}

/** Builds a failed result. */
export function fail<F>(failure: F): { readonly type: "failed"; readonly failure: F } {
  return { type: "failed", failure };
}
