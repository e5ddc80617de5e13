import { expect, test } from "@jest/globals";
import { computeWithin, findWorstWindow, playLoad, repeat, type Outcome } from "./load.js";

const primary = { level: 0, objectiveMs: 150, deadlineMs: 800, serviceMs: 6 };
const own = { level: 1, objectiveMs: 250, deadlineMs: 800, serviceMs: 18 };
const stale = {
  level: 2,
  objectiveMs: 1000,
  deadlineMs: 1200,
  serviceMs: 30,
  rest: { priority: "browsing" },
} as const;
const windowMs = 2000;
const goal = 0.97;

const ofLevel = (outcomes: readonly Outcome[], level: number) =>
  outcomes.filter(({ arrival }) => arrival.level === level);
const ofTeam = (outcomes: readonly Outcome[], team: string) =>
  outcomes.filter(({ arrival }) => arrival.rest?.team === team);

// Guards against a burst of unimportant reads that makes the most important level miss its objective.
test("level 0 and level 1 keep their objectives through a burst of five times what the slots bear", () => {
  const outcomes = playLoad(
    [
      ...repeat(primary, { from: 0, until: 10_000, everyMs: 20 }),
      ...repeat(own, { from: 3, until: 10_000, everyMs: 20 }),
      ...repeat(stale, { from: 4000, until: 6000, everyMs: 1.5 }),
    ],
    4,
  );
  expect(findWorstWindow(ofLevel(outcomes, 0), windowMs)).toBeGreaterThanOrEqual(goal);
  expect(findWorstWindow(ofLevel(outcomes, 1), windowMs)).toBeGreaterThanOrEqual(goal);
  const burst = ofLevel(outcomes, 2);
  const answered = burst.filter(({ type }) => type === "answered").length;
  expect(answered).toBeGreaterThan(100);
});

// Guards against statements of 150 ms that wait behind those of 1 s of the same level and team.
test("short objectives are met beside a queue of long ones", () => {
  const long = { ...own, objectiveMs: 1000, deadlineMs: 1200 };
  const short = { ...own, objectiveMs: 150, serviceMs: 6 };
  const outcomes = playLoad(
    [
      ...repeat(long, { from: 0, until: 4000, everyMs: 4.5 }),
      ...repeat(short, { from: 5, until: 4000, everyMs: 25 }),
    ],
    4,
  );
  expect(computeWithin(outcomes.filter(({ arrival }) => arrival.objectiveMs === 150))).toBe(1);
  expect(
    computeWithin(outcomes.filter(({ arrival }) => arrival.objectiveMs === 1000)),
  ).toBeGreaterThan(0.8);
});

// Guards against one team's flood that takes the slots of the other teams of its level.
test("a team with a flood is refused, and the others of its level keep their objectives", () => {
  const calm = ["a", "b", "c"].flatMap((team, i) =>
    repeat({ ...own, rest: { team } }, { from: i * 7, until: 6000, everyMs: 40 }),
  );
  const flood = repeat(
    { ...own, rest: { team: "flood" } },
    { from: 2000, until: 4000, everyMs: 1 },
  );
  const outcomes = playLoad([...calm, ...flood], 4);
  for (const team of ["a", "b", "c"]) {
    expect(findWorstWindow(ofTeam(outcomes, team), windowMs)).toBeGreaterThanOrEqual(goal);
  }
  const refused = ofTeam(outcomes, "flood").filter(({ type }) => type === "refused");
  expect(refused.length).toBeGreaterThan(1000);
});

// Guards against an overload in which late statements take the slots, so that all others become late too.
test("in an overload of one level some statements keep their objective and none of its slots is lost", () => {
  const outcomes = playLoad(repeat(own, { from: 0, until: 6000, everyMs: 3 }), 4);
  const answered = outcomes.filter(({ type }) => type === "answered");
  expect(answered.length).toBeGreaterThan((4 * 6000 * 0.97) / own.serviceMs);
  expect(computeWithin(answered)).toBeGreaterThan(0.5);
});

// Guards against late statements that hold out until their deadlines because newer ones overtake them, refusals
// while slots are free, and refused callers that return together.
test("an overload is refused well before the deadlines, never beside free slots, and with spread times", () => {
  const outcomes = playLoad(
    [
      ...repeat(own, { from: 0, until: 3000, everyMs: 20 }),
      ...repeat(own, { from: 1000, until: 2000, everyMs: 2 }),
    ],
    4,
  );
  const refused = outcomes.filter(({ type }) => type === "refused");
  expect(refused.length).toBeGreaterThan(50);
  expect(refused.every(({ freeSlots }) => freeSlots === 0)).toBe(true);
  const meanMs = refused.reduce((sum, { afterMs }) => sum + afterMs, 0) / refused.length;
  expect(meanMs).toBeLessThan(own.objectiveMs);
  expect(Math.max(...refused.map(({ afterMs }) => afterMs))).toBeLessThan(2 * own.objectiveMs);
  const onArrival = refused.filter(({ afterMs }) => afterMs === 0);
  expect(onArrival.length).toBeGreaterThan(50);
  const returns = refused.map(({ arrival, afterMs, retryAfterMs }) => {
    return arrival.at + afterMs + retryAfterMs;
  });
  expect(new Set(returns).size).toBeGreaterThan(0.9 * returns.length);
  expect(computeWithin(outcomes.filter(({ type }) => type === "answered"))).toBeGreaterThan(0.95);
});

// Guards against late statements that are refused after a short overload, although slots are free long before
// their deadlines.
test("after a short overload late statements are served, not refused", () => {
  const short = { level: 0, objectiveMs: 150, deadlineMs: 800, serviceMs: 10 };
  const outcomes = playLoad(
    [0, 1000, 2000].flatMap((from) => [
      ...repeat(short, { from, until: from + 300, everyMs: 5 }),
      ...repeat(short, { from: from + 300, until: from + 1000, everyMs: 45 }),
    ]),
    1,
  );
  const refused = outcomes.filter(({ type }) => type === "refused");
  expect(refused).toHaveLength(0);
  const late = outcomes.filter(({ afterMs }) => afterMs > short.objectiveMs);
  expect(late.length).toBeGreaterThan(20);
});
