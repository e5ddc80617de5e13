import type { Configuration, RequestTraits, Rule } from "../../src/model/index.js";
import { explainMatch, matchRule } from "../../src/policy/index.js";

/** What finding a rule costs at one number of rules, in microseconds. */
export interface MatchFigures {
  readonly rules: number;
  readonly indexedMicros: number;
  /** The plain reading of the list, as the baseline. */
  readonly plainMicros: number;
}

const rounds = 20_000;

/** Measures the index against the plain reading, where most rules name a team. */
export function measureMatch(): readonly MatchFigures[] {
  measureSize(100);
  return [10, 100, 300, 1000].map(measureSize);
}

function measureSize(rules: number): MatchFigures {
  const configuration = makeConfiguration(rules);
  const asked = Array.from({ length: 100 }, (_, i) => makeTraits(i % rules));
  matchRule(configuration, makeTraits(0));
  return {
    rules,
    indexedMicros: measure((i) => matchRule(configuration, pickOf(asked, i))),
    plainMicros: measure((i) => explainMatch(configuration, pickOf(asked, i))),
  };
}

/** Three rules in four name a team and a kind, the rest a plan and a table. */
function makeConfiguration(count: number): Configuration {
  const then = { type: "refuse", retryAfterMs: 1, reason: "bench" } as const;
  const rules = Array.from({ length: count }, (_, i): Rule => {
    const when =
      i % 4 === 0
        ? ({ plan: "trial", tables: [`table-${i}`] } as const)
        : { teams: [`team-${i}`], kinds: ["reservation"] };
    return { name: `rule-${i}`, when, then };
  });
  return { revision: 1, changeId: "bench", teams: [], rules };
}

function makeTraits(number: number): RequestTraits {
  return {
    group: "libro-alquiler-1",
    team: `team-${number}`,
    plan: number % 2 === 0 ? "paying" : "trial",
    kind: "browse",
    effect: "read",
    tables: ["rentals"],
    transaction: false,
  };
}

function measure(run: (i: number) => unknown): number {
  const begun = process.hrtime.bigint();
  for (let i = 0; i < rounds; i++) run(i);
  return Math.round(Number(process.hrtime.bigint() - begun) / rounds / 10) / 100;
}

function pickOf(asked: readonly RequestTraits[], i: number): RequestTraits {
  return asked[i % asked.length] ?? makeTraits(0);
}
