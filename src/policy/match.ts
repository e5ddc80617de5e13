import type { Configuration, Json, RequestTraits, Route, Rule } from "../model/index.js";
import { conditionParts, findRule, isPartMet, type ConditionPart } from "./compile.js";
import { findDefaultRule } from "./defaults.js";

/** The result of checking one rule for a request. Rules after the deciding one are not checked. */
export type RuleFinding =
  | { readonly type: "decides"; readonly rule: string }
  | {
      readonly type: "differs";
      readonly rule: string;
      readonly part: ConditionPart;
      readonly wanted: Json;
      readonly found: Json;
    }
  | { readonly type: "notAsked"; readonly rule: string };

/** The rule that decides about a request, with the finding of each rule in order. */
export interface MatchExplanation {
  readonly decided: Rule;
  /** Whether a default rule decides, since none of the operators' rules matches. */
  readonly isDefault: boolean;
  readonly findings: readonly RuleFinding[];
}

/** Returns the rule that decides about a request: the first that matches, or a default rule. */
export function matchRule(configuration: Configuration, traits: RequestTraits): Rule {
  return findRule(configuration, traits) ?? findDefaultRule(traits);
}

/**
 * Checks each rule in order, without the index, and tells for each that does not match the first part
 * of its condition that differs.
 */
export function explainMatch(
  configuration: Configuration,
  traits: RequestTraits,
): MatchExplanation {
  let decided: Rule | undefined;
  const findings: RuleFinding[] = [];
  for (const rule of configuration.rules) {
    const finding: RuleFinding =
      decided === undefined ? explainRule(rule, traits) : { type: "notAsked", rule: rule.name };
    if (finding.type === "decides") decided = rule;
    findings.push(finding);
  }
  const isDefault = decided === undefined;
  return { decided: decided ?? findDefaultRule(traits), isDefault, findings };
}

/**
 * Returns where a request may run under its rule. Writes and interactive transactions run on the
 * primary whatever the rule's route: a later statement of the transaction may write, which only the
 * primary can do.
 */
export function resolveRoute(
  traits: Pick<RequestTraits, "effect" | "transaction">,
  route: Route,
): Route {
  return traits.effect === "write" || traits.transaction ? { type: "primary" } : route;
}

function explainRule(rule: Rule, traits: RequestTraits): RuleFinding {
  const part = conditionParts.find((name) => !isPartMet(name, rule.when, traits));
  if (part === undefined) return { type: "decides", rule: rule.name };
  const wanted = rule.when[part] ?? null;
  return { type: "differs", rule: rule.name, part, wanted, found: findTrait(part, traits) };
}

function findTrait(part: ConditionPart, traits: RequestTraits): Json {
  switch (part) {
    case "teams":
      return traits.team;
    case "groups":
      return traits.group;
    case "kinds":
      return traits.kind;
    case "plan":
    case "effect":
    case "tables":
    case "transaction":
      return traits[part];
  }
}
