import { expect, test } from "@jest/globals";
import fc from "fast-check";
import type { Condition, Configuration, RequestTraits, Rule } from "../../src/model/index.js";
import { defaultRules, explainMatch, matchRule, resolveRoute } from "../../src/policy/index.js";

const then = { type: "refuse", retryAfterMs: 1, reason: "test" } as const;
const configure = (rules: readonly Rule[]): Configuration => ({
  revision: 1,
  changeId: "",
  teams: [],
  rules,
});
const names = fc.constantFrom("a", "b", "c");
const some = <T>(value: fc.Arbitrary<T>) => fc.option(value, { nil: undefined });
const conditions = fc
  .record({
    teams: some(fc.array(names, { maxLength: 2 })),
    plan: some(fc.constantFrom("trial" as const, "paying" as const)),
    groups: some(fc.array(names, { maxLength: 2 })),
    kinds: some(fc.array(names, { maxLength: 2 })),
    effect: some(fc.constantFrom("read" as const, "write" as const)),
    tables: some(fc.array(names, { maxLength: 2 })),
    transaction: some(fc.boolean()),
  })
  .map(
    (c) => Object.fromEntries(Object.entries(c).filter(([, v]) => v !== undefined)) as Condition,
  );
const traits: fc.Arbitrary<RequestTraits> = fc.record({
  group: names,
  team: names,
  plan: fc.constantFrom("trial" as const, "paying" as const),
  kind: names,
  effect: fc.constantFrom("read" as const, "write" as const),
  tables: fc.uniqueArray(names),
  transaction: fc.boolean(),
});

test("the index finds the same rule as checking the rules in order", () => {
  fc.assert(
    fc.property(fc.array(conditions, { maxLength: 12 }), traits, (whens, request) => {
      const rules = whens.map((when, i) => ({ name: `rule-${i}`, when, then }));
      const configuration = configure(rules);
      const explained = explainMatch(configuration, request);
      expect(matchRule(configuration, request)).toBe(explained.decided);
      expect(explained.findings.map((f) => f.rule)).toEqual(rules.map((r) => r.name));
      expect(explained.findings.some((f) => f.type === "decides")).toBe(!explained.isDefault);
    }),
    { seed: 4, numRuns: 2000 },
  );
});

const payingRead: RequestTraits = {
  group: "g",
  team: "cello",
  plan: "paying",
  kind: "browse",
  effect: "read",
  tables: ["rentals"],
  transaction: false,
};

test("the explanation names the part that differs, and the rules that were not checked", () => {
  const rules: readonly Rule[] = [
    { name: "writes", when: { plan: "paying", effect: "write" }, then },
    { name: "none", when: { teams: [] }, then },
    { name: "rentals", when: { tables: ["deposits", "rentals"] }, then },
    { name: "rest", when: {}, then },
  ];
  expect(explainMatch(configure(rules), payingRead).findings).toEqual([
    { type: "differs", rule: "writes", part: "effect", wanted: "write", found: "read" },
    { type: "differs", rule: "none", part: "teams", wanted: [], found: "cello" },
    { type: "decides", rule: "rentals" },
    { type: "notAsked", rule: "rest" },
  ]);
});

test("without a matching rule the plan and the effect decide", () => {
  const none = configure([]);
  expect(matchRule(none, payingRead)).toBe(defaultRules.payingRead);
  expect(matchRule(none, { ...payingRead, effect: "write" })).toBe(defaultRules.payingWrite);
  expect(matchRule(none, { ...payingRead, plan: "trial" }).then).toMatchObject({
    priority: "trial",
  });
  expect(resolveRoute({ effect: "read", transaction: true }, { type: "replica" }).type).toBe(
    "primary",
  );
});
