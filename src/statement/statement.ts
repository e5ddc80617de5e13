import type { Effect } from "../model/index.js";

/**
 * One statement of a caller whose protocol sends opaque work with an id. `text` is what the target
 * gets to see, unchanged.
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

/** What a prepared statement does. Two with the same effect and shape are the same. */
export interface PreparedDefinition {
  readonly effect: Effect;
  readonly shape: string;
}

/** What a statement became once the session's names are resolved: work for a target. */
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

/** The effect of a piece of work. */
export function findEffect(work: Work): Effect {
  return work.type === "access" ? work.effect : work.prepared.effect;
}
