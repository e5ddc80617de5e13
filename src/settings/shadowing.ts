import type { Condition, Rule, Team } from "../model/index.js";

/** Finds the first of `earlierRules` that matches every request that `rule` matches. */
export function findShadowingRule(
  earlierRules: readonly Rule[],
  rule: Rule,
  teams: readonly Team[],
): Rule | undefined {
  return earlierRules.find((other) => matchesSuperset(other.when, rule.when, teams));
}

function matchesSuperset(wide: Condition, narrow: Condition, teams: readonly Team[]): boolean {
  return (
    isSubset(narrow.teams, wide.teams) &&
    isSubset(narrow.groups, wide.groups) &&
    isSubset(narrow.kinds, wide.kinds) &&
    isSubset(narrow.tables, wide.tables) &&
    isSame(narrow.effect, wide.effect) &&
    isSame(narrow.transaction, wide.transaction) &&
    (isSame(narrow.plan, wide.plan) || areAllOnPlan(narrow.teams, wide.plan, teams))
  );
}

function isSubset(narrow: readonly string[] | undefined, wide: readonly string[] | undefined) {
  return wide === undefined || (narrow?.every((name) => wide.includes(name)) ?? false);
}

function isSame<T>(narrow: T | undefined, wide: T | undefined): boolean {
  return wide === undefined || narrow === wide;
}

function areAllOnPlan(
  names: readonly string[] | undefined,
  plan: Team["plan"] | undefined,
  teams: readonly Team[],
): boolean {
  return names?.every((name) => teams.find((t) => t.name === name)?.plan === plan) ?? false;
}
