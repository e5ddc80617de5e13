import type { Rule } from "./rule.js";
import type { Team } from "./team.js";

/**
 * The operators' accepted configuration: the list of teams and the rules, as one value under one
 * revision. A process only ever replaces its configuration by one with a greater revision.
 */
export interface Configuration {
  readonly revision: number;
  /**
   * Identifies the change that wrote this revision. When the store's answer to a write was lost,
   * reading the object back shows by this id whether the write took effect.
   */
  readonly changeId: string;
  readonly teams: readonly Team[];
  readonly rules: readonly Rule[];
}

/** The configuration in force before any is known. Its revision is smaller than every stored one. */
export const emptyConfiguration: Configuration = {
  revision: 0,
  changeId: "",
  teams: [],
  rules: [],
};
