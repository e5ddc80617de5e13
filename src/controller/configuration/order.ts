import type { Condition, Rule } from "../../model/index.js";
import { isSameValue } from "./canonical.js";

/** The merged order of rules' names, or the names whose order can't be told. */
export type MergedOrder =
  | { readonly type: "merged"; readonly names: readonly string[] }
  | { readonly type: "conflict"; readonly names: readonly string[] };

/** Merges two changes of the order of rules. Only the first match counts, so order is meaning. */
export function mergeOrders(
  base: readonly Rule[],
  mine: readonly Rule[],
  theirs: readonly Rule[],
): MergedOrder {
  const [before, own, other] = [listNames(base), listNames(mine), listNames(theirs)];
  if (isSameValue(own, other) || isSameValue(before, own)) return { type: "merged", names: other };
  if (isSameValue(before, other)) return { type: "merged", names: own };
  const shared = before.filter((name) => own.includes(name) && other.includes(name));
  if (!isInOrder(shared, own) || !isInOrder(shared, other)) {
    return { type: "conflict", names: shared };
  }
  return mergeGaps(before, shared, mine, theirs);
}

/** Puts what each side added between the rules that all three hold. */
function mergeGaps(
  before: readonly string[],
  shared: readonly string[],
  mine: readonly Rule[],
  theirs: readonly Rule[],
): MergedOrder {
  const ownGaps = splitGaps(before, shared, mine);
  const otherGaps = splitGaps(before, shared, theirs);
  const names: string[] = [];
  for (let gap = 0; gap <= shared.length; gap++) {
    const other = otherGaps[gap] ?? [];
    const own = (ownGaps[gap] ?? []).filter((rule) => !theirs.some((t) => t.name === rule.name));
    const clash = own.find((a) => other.some((b) => isOrderMeaningful(a, b)));
    if (clash !== undefined) return { type: "conflict", names: listNames([...other, ...own]) };
    names.push(...listNames(other), ...listNames(own));
    const next = shared[gap];
    if (next !== undefined) names.push(next);
  }
  return { type: "merged", names };
}

function splitGaps(
  before: readonly string[],
  shared: readonly string[],
  rules: readonly Rule[],
): readonly (readonly Rule[])[] {
  const gaps: Rule[][] = [[]];
  for (const rule of rules) {
    if (shared.includes(rule.name)) gaps.push([]);
    else if (!before.includes(rule.name)) gaps.at(-1)?.push(rule);
  }
  return gaps;
}

/** Whether some request could meet both rules and fare differently. */
function isOrderMeaningful(a: Rule, b: Rule): boolean {
  return !isSameValue(a.then, b.then) && canOverlap(a.when, b.when);
}

function canOverlap(a: Condition, b: Condition): boolean {
  const canMeet = <T>(x: T | undefined, y: T | undefined) =>
    x === undefined || y === undefined || x === y;
  const canShare = (x?: readonly string[], y?: readonly string[]) =>
    x === undefined || y === undefined || x.some((name) => y.includes(name));
  // A statement may name several tables, so two rules on different tables can still meet.
  return (
    canMeet(a.plan, b.plan) &&
    canMeet(a.effect, b.effect) &&
    canMeet(a.transaction, b.transaction) &&
    canShare(a.teams, b.teams) &&
    canShare(a.groups, b.groups) &&
    canShare(a.kinds, b.kinds)
  );
}

function isInOrder(names: readonly string[], within: readonly string[]): boolean {
  return isSameValue(
    names,
    within.filter((name) => names.includes(name)),
  );
}

function listNames(rules: readonly Rule[]): readonly string[] {
  return rules.map(({ name }) => name);
}
