import type { Draft } from "../../src/controller/configuration/index.js";
import type { Rule, Team } from "../../src/model/index.js";

export const team = (name: string, plan: Team["plan"] = "paying"): Team => ({ name, plan });

export const refuse = (name: string, when: Rule["when"] = {}, reason = "closed"): Rule => ({
  name,
  when,
  then: { type: "refuse", retryAfterMs: 1000, reason },
});

export const draft = (teams: readonly Team[], rules: readonly Rule[] = []): Draft => ({
  teams,
  rules,
});
