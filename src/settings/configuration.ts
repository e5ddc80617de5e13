import { z } from "zod";
import {
  priorities,
  type Condition,
  type Rule,
  type RuleAction,
  type Team,
} from "../model/index.js";
import { validateDocument, toFaultyResult } from "./validate.js";
import { findShadowingRule } from "./shadowing.js";
import { parseSettingsDocument, type SettingsDocument } from "./document.js";
import type { LoadResult, SettingsFault } from "./fault.js";
import { defineCount, defineDuration, defineName, defineObject, defineChoice } from "./fields.js";
import { findClosestName } from "./closest-name.js";

/** Teams and rules without a revision. */
export interface ConfigurationDraft {
  readonly teams: readonly Team[];
  readonly rules: readonly Rule[];
}

/** The content of the operators' configuration file. */
export interface ConfigurationFile extends ConfigurationDraft {
  /** The revision on which the edited file is based; `radishwalk get` writes it. */
  readonly revision?: number;
}

const maxAttempts = 10;

const names = z
  .union([defineName().transform((name) => [name]), z.array(defineName()).min(1)], {
    error: "must be a name or a list of names",
  })
  .optional();

const condition = defineObject({
  teams: names,
  plan: defineChoice(["trial", "paying"]).optional(),
  groups: names,
  kinds: names,
  effect: defineChoice(["read", "write"]).optional(),
  tables: names,
  transaction: z.boolean({ error: "must be true or false" }).optional(),
});

const serve = defineObject({
  route: defineChoice(["primary", "replica"]),
  stale: defineDuration("1ms", "24h").optional(),
  class: defineChoice(priorities),
  deadline: defineDuration("10ms", "10m"),
  queue: defineDuration("0ms", "10m"),
  retry: defineCount("attempts", 0, maxAttempts).default(0),
  acknowledge: defineChoice(["replicated", "witnessed"]).default("replicated"),
});

const refuse = defineObject({
  retryAfter: defineDuration("0ms", "24h"),
  reason: z.string({ error: "must be a non-empty text for the caller" }).min(1),
});

const file = defineObject({
  revision: defineCount("revisions", 0, Number.MAX_SAFE_INTEGER).optional(),
  teams: z.array(defineObject({ name: defineName(), plan: defineChoice(["trial", "paying"]) }), {
    error: "must be a list of teams",
  }),
  rules: z.array(
    defineObject({
      name: defineName(),
      when: condition.prefault({}),
      then: defineObject({ serve: serve.optional(), refuse: refuse.optional() }),
    }),
    { error: "must be a list of rules" },
  ),
});

type ParsedRule = z.output<typeof file>["rules"][number];

/** Loads teams and rules. Warns of a rule that can never match because of an earlier one. */
export function loadConfigurationFile(text: string, source: string): LoadResult<ConfigurationFile> {
  const document = parseSettingsDocument(text, source);
  const loaded = validateDocument(document, file);
  if (loaded.type === "faulty") return loaded;
  const { revision, teams, rules } = loaded.value;
  const faults = [
    ...findDuplicates(document, "teams", teams),
    ...findDuplicates(document, "rules", rules),
    ...rules.flatMap((rule, i) => checkRule(document, rule, i, teams)),
  ];
  if (faults.length > 0) return toFaultyResult(faults);
  const draft = { teams, rules: rules.map(toRule) };
  return {
    type: "loaded",
    value: revision === undefined ? draft : { ...draft, revision },
    warnings: findShadowedRules(document, draft),
  };
}

function findDuplicates(
  document: SettingsDocument,
  list: "teams" | "rules",
  entries: readonly { readonly name: string }[],
): readonly SettingsFault[] {
  return entries.flatMap(({ name }, i) =>
    entries.findIndex((entry) => entry.name === name) < i
      ? [document.createFault([list, i, "name"], `${name} is defined more than once`)]
      : [],
  );
}

function checkRule(
  document: SettingsDocument,
  rule: ParsedRule,
  index: number,
  teams: readonly Team[],
): readonly SettingsFault[] {
  const known = teams.map((team) => team.name);
  const faults = (rule.when.teams ?? [])
    .filter((name) => !known.includes(name))
    .map((name) => {
      const closest = findClosestName(name, known);
      const hint = closest === undefined ? "" : `; did you mean ${closest}?`;
      return document.createFault(
        ["rules", index, "when", "teams"],
        `team ${name} does not exist${hint}`,
      );
    });
  const { serve, refuse } = rule.then;
  if ((serve === undefined) === (refuse === undefined)) {
    const message = "must have exactly one of serve and refuse";
    faults.push(document.createFault(["rules", index, "then"], message));
  }
  if (serve?.route === "primary" && serve.stale !== undefined) {
    const message = "applies only to route replica: a primary's data is never stale";
    faults.push(document.createFault(["rules", index, "then", "serve", "stale"], message));
  }
  return faults;
}

function findShadowedRules(
  document: SettingsDocument,
  draft: ConfigurationDraft,
): readonly SettingsFault[] {
  return draft.rules.flatMap((rule, i) => {
    const shadowing = findShadowingRule(draft.rules.slice(0, i), rule, draft.teams);
    if (shadowing === undefined) return [];
    const message = `can never match: the earlier rule ${shadowing.name} matches every request that it matches`;
    return [document.createFault(["rules", i, "name"], message)];
  });
}

function toRule({ name, when, then }: ParsedRule): Rule {
  return { name, when: toCondition(when), then: toAction(then) };
}

function toCondition(when: ParsedRule["when"]): Condition {
  return Object.fromEntries(Object.entries(when).filter(([, value]) => value !== undefined));
}

function toAction({ serve, refuse }: ParsedRule["then"]): RuleAction {
  if (serve === undefined) {
    return { type: "refuse", retryAfterMs: refuse?.retryAfter ?? 0, reason: refuse?.reason ?? "" };
  }
  return {
    type: "serve",
    route:
      serve.stale === undefined ? { type: serve.route } : { type: "stale", maxAgeMs: serve.stale },
    priority: serve.class,
    deadlineMs: serve.deadline,
    maxQueueMs: serve.queue,
    retry: { attempts: serve.retry },
    acknowledgement: serve.acknowledge,
  };
}
