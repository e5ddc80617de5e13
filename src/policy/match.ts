import type { Configuration, Json, RequestTraits, Route, Rule } from "../model/index.js";
import { conditionParts, findRule, isPartMet, type ConditionPart } from "./compile.js";
import { findDefaultRule } from "./defaults.js";

/** What one rule said to a request. Rules after the deciding one are not asked. */
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

/** How the deciding rule was found: each rule in order, and the one that decides. */
export interface MatchExplanation {
  readonly decided: Rule;
  /** Whether a default decided, since no rule of the operators did. */
  readonly isDefault: boolean;
  readonly findings: readonly RuleFinding[];
}

/** The rule that decides about a request: the first that holds, or the default for its kind. */
export function matchRule(configuration: Configuration, traits: RequestTraits): Rule {
  return findRule(configuration, traits) ?? findDefaultRule(traits);
}

/** Asks each rule in order, without the index, and tells which part of its condition differs. */
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
 * Where a request may go under its rule: writes and transactions stay on the primary whatever the
 * rule says, since only there a later statement of the transaction may write.
 */
export function resolveRoute(
  traits: Pick<RequestTraits, "effect" | "transaction">,
  route: Route,
): Route {
  return traits.effect === "write" || traits.transaction ? { type: "primary" } : route;
}

function explainRule(rule: Rule, traits: RequestTraits): RuleFinding {
  const part = conditionParts.find((p) => !isPartMet(p, rule.when, traits));
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
