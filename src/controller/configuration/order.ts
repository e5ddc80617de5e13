import type { Condition, Rule } from "../../model/index.js";
import { isSameValue } from "./canonical.js";

/** The merged order of rules by name, or the names whose order can't be decided. */
export type MergedOrder =
  | { readonly type: "merged"; readonly names: readonly string[] }
  | { readonly type: "conflict"; readonly names: readonly string[] };

/**
 * Merges two changes of the order of rules. The order matters, since the first matching rule
 * applies.
 */
export function mergeOrders(
  base: readonly Rule[],
  mine: readonly Rule[],
  theirs: readonly Rule[],
): MergedOrder {
  const [before, own, other] = [listNames(base), listNames(mine), listNames(theirs)];
  if (isSameValue(own, other) || isSameValue(before, own)) return { type: "merged", names: other };
  if (isSameValue(before, other)) return { type: "merged", names: own };
  const shared = before.filter((name) => own.includes(name) && other.includes(name));
  if (!hasSameOrder(shared, own) || !hasSameOrder(shared, other)) {
    return { type: "conflict", names: shared };
  }
  return mergeAddedRules(before, shared, mine, theirs);
}

/** Inserts the rules that each side added between the rules that all three versions contain. */
function mergeAddedRules(
  before: readonly string[],
  shared: readonly string[],
  mine: readonly Rule[],
  theirs: readonly Rule[],
): MergedOrder {
  const ownAdditions = groupAddedRules(before, shared, mine);
  const otherAdditions = groupAddedRules(before, shared, theirs);
  const names: string[] = [];
  for (let position = 0; position <= shared.length; position++) {
    const other = otherAdditions[position] ?? [];
    const own = (ownAdditions[position] ?? []).filter(
      (rule) => !theirs.some((t) => t.name === rule.name),
    );
    const conflicting = own.find((a) => other.some((b) => isOrderSignificant(a, b)));
    if (conflicting !== undefined)
      return { type: "conflict", names: listNames([...other, ...own]) };
    names.push(...listNames(other), ...listNames(own));
    const next = shared[position];
    if (next !== undefined) names.push(next);
  }
  return { type: "merged", names };
}

function groupAddedRules(
  before: readonly string[],
  shared: readonly string[],
  rules: readonly Rule[],
): readonly (readonly Rule[])[] {
  const groups: Rule[][] = [[]];
  for (const rule of rules) {
    if (shared.includes(rule.name)) groups.push([]);
    else if (!before.includes(rule.name)) groups.at(-1)?.push(rule);
  }
  return groups;
}

/** Whether a request could match both rules and be treated differently by them. */
function isOrderSignificant(a: Rule, b: Rule): boolean {
  return !isSameValue(a.then, b.then) && canOverlap(a.when, b.when);
}

function canOverlap(a: Condition, b: Condition): boolean {
  const canBeEqual = <T>(x: T | undefined, y: T | undefined) =>
    x === undefined || y === undefined || x === y;
  const canIntersect = (x?: readonly string[], y?: readonly string[]) =>
    x === undefined || y === undefined || x.some((name) => y.includes(name));
  // A statement can name several tables, so rules on different tables can match the same one.
  return (
    canBeEqual(a.plan, b.plan) &&
    canBeEqual(a.effect, b.effect) &&
    canBeEqual(a.transaction, b.transaction) &&
    canIntersect(a.teams, b.teams) &&
    canIntersect(a.groups, b.groups) &&
    canIntersect(a.kinds, b.kinds)
  );
}

function hasSameOrder(names: readonly string[], within: readonly string[]): boolean {
  return isSameValue(
    names,
    within.filter((name) => names.includes(name)),
  );
}

function listNames(rules: readonly Rule[]): readonly string[] {
  return rules.map(({ name }) => name);
}
