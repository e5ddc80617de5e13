import { readFileSync } from "node:fs";
import { expect, test } from "@jest/globals";
import {
  formatFault,
  loadConfigurationFile,
  renderConfigurationFile,
} from "../../src/settings/index.js";

const load = (text: string) => loadConfigurationFile(text, "r.yaml");
const loadFaults = (text: string) => {
  const loaded = load(text);
  return (loaded.type === "faulty" ? loaded.faults : loaded.warnings).map(formatFault);
};

const serve =
  "{ serve: { route: replica, stale: 5s, class: browsing, deadline: 2s, queue: 500ms } }";

test("rules are converted to the types of the model", () => {
  const loaded = load(`teams: [{ name: a, plan: trial }]
rules:
  - { name: look, when: { teams: a, effect: read }, then: ${serve} }
  - { name: rest, then: { refuse: { retryAfter: 30s, reason: closed } } }
`);
  expect(loaded).toMatchObject({
    type: "loaded",
    warnings: [],
    value: {
      rules: [
        {
          when: { teams: ["a"], effect: "read" },
          then: { type: "serve", route: { type: "stale", maxAgeMs: 5000 }, maxQueueMs: 500 },
        },
        { when: {}, then: { type: "refuse", retryAfterMs: 30000, reason: "closed" } },
      ],
    },
  });
});

test("duplicate names, unknown teams and contradictions are all reported", () => {
  const text = `teams: [{ name: maria, plan: trial }, { name: maria, plan: paying }]
rules:
  - { name: x, when: { teams: [mara] }, then: {} }
  - { name: x, then: { serve: { route: primary, stale: 1s, class: trail, deadline: 1s, queue: 0ms } } }
`;
  expect(loadFaults(text)).toEqual([
    "r.yaml:4:67: rules[1].then.serve.class: must be one of critical, normal, browsing, trial; did you mean trial?",
  ]);
  expect(loadFaults(text.replace("trail", "trial"))).toEqual([
    "r.yaml:1:47: teams[1].name: maria is defined more than once",
    "r.yaml:3:31: rules[0].when.teams: team mara does not exist; did you mean maria?",
    "r.yaml:3:47: rules[0].then: must have exactly one of serve and refuse",
    "r.yaml:4:13: rules[1].name: x is defined more than once",
    "r.yaml:4:56: rules[1].then.serve.stale: applies only to route replica: a primary's data is never stale",
  ]);
});

test("a rule that is shadowed by an earlier one gets a warning", () => {
  const faults = loadFaults(`teams: [{ name: a, plan: trial }, { name: b, plan: paying }]
rules:
  - { name: trials, when: { plan: trial }, then: ${serve} }
  - { name: a-reads, when: { teams: [a], effect: read }, then: ${serve} }
  - { name: both-read, when: { teams: [a, b], effect: read }, then: ${serve} }
`);
  expect(faults).toEqual([
    "r.yaml:4:13: rules[1].name: can never match: the earlier rule trials matches every request that it matches",
  ]);
});

test.each(["ferrante-rules.yaml", "cluj-rules.yaml"])(
  "%s is valid and survives a round trip",
  (name) => {
    const loaded = load(readFileSync(`config/${name}`, "utf8"));
    if (loaded.type === "faulty") throw new Error(loaded.faults.map(formatFault).join("\n"));
    expect(loaded.warnings).toEqual([]);
    expect(load(renderConfigurationFile(loaded.value))).toEqual(loaded);
  },
);
