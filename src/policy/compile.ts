import type { Condition, Configuration, Effect, RequestTraits, Rule } from "../model/index.js";
import type { Plan } from "../model/index.js";

/** The parts of a condition, in the order in which they are checked and explained. */
export const conditionParts = [
  "teams",
  "plan",
  "groups",
  "kinds",
  "effect",
  "tables",
  "transaction",
] as const;

/** One part of a condition. */
export type ConditionPart = (typeof conditionParts)[number];

/** Whether one part of a condition holds; a part that is not given does. */
export function isPartMet(part: ConditionPart, when: Condition, traits: RequestTraits): boolean {
  switch (part) {
    case "teams":
      return when.teams?.includes(traits.team) ?? true;
    case "plan":
      return when.plan === undefined || when.plan === traits.plan;
    case "groups":
      return when.groups?.includes(traits.group) ?? true;
    case "kinds":
      return when.kinds?.includes(traits.kind) ?? true;
    case "effect":
      return when.effect === undefined || when.effect === traits.effect;
    case "tables":
      return when.tables?.some((t) => traits.tables.includes(t)) ?? true;
    case "transaction":
      return when.transaction === undefined || when.transaction === traits.transaction;
  }
}

/** A rule with its place in the operators' list and its long lists as sets. */
interface CompiledRule {
  readonly index: number;
  readonly rule: Rule;
  readonly groups: ReadonlySet<string> | undefined;
  readonly kinds: ReadonlySet<string> | undefined;
}

type RuleList = readonly CompiledRule[];

/**
 * Rules by what they name: those that name teams by team, the others that name groups by group, the
 * rest by plan and effect. A request meets at most one list of each, and each is in rule order.
 */
interface RuleIndex {
  readonly byTeam: ReadonlyMap<string, RuleList>;
  readonly byGroup: ReadonlyMap<string, RuleList>;
  readonly general: ReadonlyMap<string, RuleList>;
}

const plans: readonly Plan[] = ["trial", "paying"];
const effects: readonly Effect[] = ["read", "write"];
const noRules: RuleList = [];
const indexes = new WeakMap<Configuration, RuleIndex>();

/** The first rule whose condition holds, from an index that is built once for a configuration. */
export function findRule(configuration: Configuration, traits: RequestTraits): Rule | undefined {
  const index = getIndex(configuration);
  const team = findFirst(index.byTeam.get(traits.team), traits, Infinity);
  const group = findFirst(index.byGroup.get(traits.group), traits, team?.index ?? Infinity);
  const shape = makePlanEffectKey(traits.plan, traits.effect);
  const named = group ?? team;
  const general = findFirst(index.general.get(shape), traits, named?.index ?? Infinity);
  return (general ?? named)?.rule;
}

/** The first rule of a list that holds and stands before `end` in the operators' list. */
function findFirst(rules: RuleList = noRules, traits: RequestTraits, end: number) {
  for (const compiled of rules) {
    if (compiled.index >= end) return undefined;
    if (isMet(compiled, traits)) return compiled;
  }
  return undefined;
}

function isMet({ rule: { when }, groups, kinds }: CompiledRule, traits: RequestTraits): boolean {
  if (when.plan !== undefined && when.plan !== traits.plan) return false;
  if (when.effect !== undefined && when.effect !== traits.effect) return false;
  if (when.transaction !== undefined && when.transaction !== traits.transaction) return false;
  if (kinds?.has(traits.kind) === false) return false;
  if (groups?.has(traits.group) === false) return false;
  return isPartMet("tables", when, traits);
}

function getIndex(configuration: Configuration): RuleIndex {
  const known = indexes.get(configuration);
  if (known !== undefined) return known;
  const index = buildIndex(configuration.rules);
  indexes.set(configuration, index);
  return index;
}

function buildIndex(rules: readonly Rule[]): RuleIndex {
  const byTeam = new Map<string, CompiledRule[]>();
  const byGroup = new Map<string, CompiledRule[]>();
  const general = new Map<string, CompiledRule[]>();
  rules.forEach((rule, index) => {
    const { teams, groups, kinds } = rule.when;
    const compiled = { index, rule, groups: makeSet(groups), kinds: makeSet(kinds) };
    if (teams !== undefined) addToLists(byTeam, teams, compiled);
    else if (groups !== undefined) addToLists(byGroup, groups, compiled);
    else addToLists(general, listPlanEffectKeys(rule.when), compiled);
  });
  return { byTeam, byGroup, general };
}

function addToLists(
  lists: Map<string, CompiledRule[]>,
  keys: readonly string[],
  rule: CompiledRule,
) {
  for (const key of new Set(keys)) {
    const list = lists.get(key);
    if (list === undefined) lists.set(key, [rule]);
    else list.push(rule);
  }
}

function listPlanEffectKeys(when: Condition): readonly string[] {
  return plans
    .filter((plan) => when.plan === undefined || when.plan === plan)
    .flatMap((plan) =>
      effects
        .filter((effect) => when.effect === undefined || when.effect === effect)
        .map((effect) => makePlanEffectKey(plan, effect)),
    );
}

function makePlanEffectKey(plan: Plan, effect: Effect): string {
  return `${plan} ${effect}`;
}

function makeSet(names: readonly string[] | undefined): ReadonlySet<string> | undefined {
  return names === undefined ? undefined : new Set(names);
}
