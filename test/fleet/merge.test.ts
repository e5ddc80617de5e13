import { expect, test } from "@jest/globals";
import {
  applyDelta,
  buildDelta,
  mergeDrafts,
  type Draft,
} from "../../src/controller/configuration/index.js";
import { draft, refuse, team } from "./builders.js";

const base = draft([team("a"), team("b")], [refuse("r1", { teams: ["a"] }), refuse("r2")]);
const names = (d: Draft) => d.rules.map((r) => r.name);

test("changes to different entries are both kept", () => {
  const mine = draft([...base.teams, team("c", "trial")], base.rules);
  const theirs = draft([team("a", "trial"), team("b")], [refuse("r1", { teams: ["a"] }, "later")]);
  expect(mergeDrafts(base, mine, theirs)).toEqual({
    type: "merged",
    draft: { teams: [team("a", "trial"), team("b"), team("c", "trial")], rules: theirs.rules },
  });
});

test.each([
  ["the same team", draft([team("a", "trial"), team("b")], base.rules)],
  ["a team that the other removed", draft([team("b")], [refuse("r2")])],
])("%s changed differently by both editors is a conflict", (_, theirs) => {
  const mine = draft([{ name: "a", plan: "trial" }, team("b")], base.rules);
  const other = theirs.teams.length === 2 ? draft([team("b")], [refuse("r2")]) : theirs;
  const merge = mergeDrafts(base, mine, other);
  expect(merge).toEqual({ type: "conflict", conflicts: [{ type: "team", name: "a" }] });
});

// Two operators each add a rule at the same position, and the first matching rule applies. If a
// request can match both rules, the result depends on an order that neither operator chose, so this
// must be a conflict rather than a merge.
test("rules added at one position merge only if their order does not matter", () => {
  const add = (rule: ReturnType<typeof refuse>) => draft(base.teams, [...base.rules, rule]);
  const apart = mergeDrafts(
    base,
    add(refuse("m", { kinds: ["x"] }, "mine")),
    add(refuse("t", { kinds: ["y"] }, "theirs")),
  );
  expect(apart.type === "merged" && names(apart.draft)).toEqual(["r1", "r2", "t", "m"]);
  const together = mergeDrafts(
    base,
    add(refuse("m", { plan: "trial" }, "mine")),
    add(refuse("t", { kinds: ["y"] }, "theirs")),
  );
  expect(together).toEqual({
    type: "conflict",
    conflicts: [{ type: "order", names: ["t", "m"] }],
  });
});

test("a rule that names a team the other editor removed is a conflict", () => {
  const mine = draft(base.teams, [...base.rules, refuse("r3", { teams: ["b"] })]);
  const theirs = draft([team("a")], base.rules);
  expect(mergeDrafts(base, mine, theirs)).toEqual({
    type: "conflict",
    conflicts: [{ type: "missingTeam", rule: "r3", team: "b" }],
  });
});

test("one side's new order and the other's new content are both kept", () => {
  const mine = draft(base.teams, [...base.rules].reverse());
  const theirs = draft([...base.teams, team("c")], base.rules);
  const merge = mergeDrafts(base, mine, theirs);
  expect(merge.type === "merged" && names(merge.draft)).toEqual(["r2", "r1"]);
});

test("a delta yields the revision that it was built for and fails on another base", () => {
  const before = { revision: 4, changeId: "x", ...base };
  const after = {
    revision: 5,
    changeId: "y",
    teams: [team("b", "trial"), team("c")],
    rules: [refuse("r3"), refuse("r2")],
  };
  const delta = buildDelta(before, after);
  expect(applyDelta(before, delta)).toMatchObject({ type: "applied", state: after });
  expect(applyDelta({ ...before, revision: 3 }, delta)).toEqual({
    type: "failed",
    failure: "wrongBase",
  });
});
