import type { Condition, Configuration, Effect, RequestTraits, Rule } from "../model/index.js";
import type { Plan } from "../model/index.js";

/** The parts of a condition, in the order in which `explainMatch` checks them. */
export const conditionParts = [
  "teams",
  "plan",
  "groups",
  "kinds",
  "effect",
  "tables",
  "transaction",
] as const;

/** The field name of one part of a condition. */
export type ConditionPart = (typeof conditionParts)[number];

/** Whether one part of a condition holds. A part that is not given always holds. */
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
      return when.tables?.some((table) => traits.tables.includes(table)) ?? true;
    case "transaction":
      return when.transaction === undefined || when.transaction === traits.transaction;
  }
}

/** A rule with its position in the operators' list, and with sets in place of long lists. */
interface CompiledRule {
  readonly index: number;
  readonly rule: Rule;
  readonly groups: ReadonlySet<string> | undefined;
  readonly kinds: ReadonlySet<string> | undefined;
}

type RuleList = readonly CompiledRule[];

/**
 * Indexes rules by their conditions: rules that name teams by team, other rules that name groups by
 * group, and the rest by plan and effect. For a request at most one list of each map has to be
 * searched. Every list is in the order of the rules.
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

/** Returns the first rule whose condition holds. The index is built once per configuration. */
export function findRule(configuration: Configuration, traits: RequestTraits): Rule | undefined {
  const index = getIndex(configuration);
  const byTeam = findFirst(index.byTeam.get(traits.team), traits, Infinity);
  const byGroup = findFirst(index.byGroup.get(traits.group), traits, byTeam?.index ?? Infinity);
  const key = makePlanEffectKey(traits.plan, traits.effect);
  const specific = byGroup ?? byTeam;
  const general = findFirst(index.general.get(key), traits, specific?.index ?? Infinity);
  return (general ?? specific)?.rule;
}

/** Returns the first matching rule of a list whose position in the operators' list is before `end`. */
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
