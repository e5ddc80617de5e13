/**
 * The result of applying a step to an immutable state: the next state with the effects that the
 * caller must carry out, or a failure, after which the old state stays valid.
 */
export type StepResult<S, E, F = string> =
  | { readonly type: "applied"; readonly state: S; readonly effects: readonly E[] }
  | { readonly type: "failed"; readonly failure: F };

/** Creates the result of a step that applies. */
export function succeed<S, E>(
  state: S,
  effects: readonly E[] = [],
): { readonly type: "applied"; readonly state: S; readonly effects: readonly E[] } {
  return { type: "applied", state, effects };
}

/** Creates the result of a step that fails. */
export function fail<F>(failure: F): { readonly type: "failed"; readonly failure: F } {
  return { type: "failed", failure };
}
