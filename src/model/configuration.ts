import type { Rule } from "./rule.js";
import type { Team } from "./team.js";

/**
 * The operators' accepted configuration: roster and rules as one value under one revision.
 * Greater revisions replace smaller ones everywhere; none ever comes back.
 */
export interface Configuration {
  readonly revision: number;
  /** Recognises a change whose answer was lost, when the object is read back. */
  readonly changeId: string;
  readonly teams: readonly Team[];
  readonly rules: readonly Rule[];
}

/** What is in force before any configuration is known. */
export const emptyConfiguration: Configuration = {
  revision: 0,
  changeId: "",
  teams: [],
  rules: [],
};
