import type { Effect } from "../model/index.js";

/**
 * A statement of a caller whose protocol sends opaque work with an id. `text` is passed to the target
 * unchanged.
 */
export type Statement =
  | { readonly type: "begin"; readonly id: string; readonly isReadOnly: boolean }
  | { readonly type: "commit"; readonly id: string; readonly text: string }
  | { readonly type: "rollback"; readonly id: string }
  | {
      readonly type: "access";
      readonly id: string;
      readonly effect: Effect;
      readonly text: string;
    }
  | { readonly type: "set"; readonly id: string; readonly name: string; readonly value: string }
  | {
      readonly type: "prepare";
      readonly id: string;
      readonly name: string;
      readonly prepared: PreparedDefinition;
    }
  /** Runs a prepared statement; `argument` is opaque. */
  | {
      readonly type: "execute";
      readonly id: string;
      readonly name: string;
      readonly argument: string;
    }
  | { readonly type: "deallocate"; readonly id: string; readonly name: string };

/** The definition of a prepared statement. Two with the same effect and shape are interchangeable. */
export interface PreparedDefinition {
  readonly effect: Effect;
  readonly shape: string;
}

/** Work for a target: a statement in which the session's name of a prepared statement is resolved. */
export type Work =
  | {
      readonly type: "access";
      readonly id: string;
      readonly effect: Effect;
      readonly text: string;
    }
  | {
      readonly type: "execute";
      readonly id: string;
      readonly prepared: PreparedDefinition;
      readonly argument: string;
    };

/** Whether a piece of work reads or writes. */
export function findEffect(work: Work): Effect {
  return work.type === "access" ? work.effect : work.prepared.effect;
}
