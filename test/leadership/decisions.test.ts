import { expect, test } from "@jest/globals";
import {
  chooseCandidate,
  decideChange,
  decodeLeadership,
  encodeLeadership,
  findSuspicion,
  findWaitEnd,
  isConfirmedByPeers,
  isPermitted,
  noMajorityWaitMs,
  recordContact,
  recordSilence,
  permitMs,
  StallDetector,
  type Candidate,
} from "../../src/leadership/index.js";

const createCandidate = (target: string, offset: number, change: object = {}): Candidate => ({
  target,
  isLeaving: false,
  report: {
    role: "replica",
    received: { term: { round: 1, vm: "" }, offset },
    round: 1,
    lagMs: 0,
    ...change,
  },
});

test("the longest log leads; a leaving target only where there is no other", () => {
  const short = createCandidate("a", 3);
  const long = createCandidate("b", 5);
  expect(chooseCandidate([short, long], "old")?.target).toBe("b");
  expect(chooseCandidate([short, { ...long, isLeaving: true }], "old")?.target).toBe("a");
  expect(chooseCandidate([{ ...long, isLeaving: true }], "old")?.target).toBe("b");
  expect(chooseCandidate([], "old")).toBeUndefined();
});

// An earlier change got as far as the promotion and its holder died. Another promotion would cut off
// what the new primary acknowledged since; so it is kept, though another log may be as long.
test("a target that leads a newer term already is kept", () => {
  const made = createCandidate("b", 5, { role: "primary", round: 2 });
  expect(chooseCandidate([createCandidate("a", 9), made], "old")?.target).toBe("b");
});

test("a primary that most reach stays; one that a third can't reach goes", () => {
  const unreachable = { type: "unreachable", sinceMs: 300 } as const;
  expect(decideChange(unreachable, { reaching: 6, notReaching: 1, silent: 0 }).type).toBe("keep");
  expect(decideChange(unreachable, { reaching: 4, notReaching: 3, silent: 0 }).type).toBe("change");
  expect(decideChange(unreachable, { reaching: 0, notReaching: 1, silent: 0 }).type).toBe("change");
  expect(decideChange({ type: "leaving" }, { reaching: 7, notReaching: 0, silent: 0 }).type).toBe(
    "change",
  );
});

// A proxy was cut off from the others and from the primary. The cut heals, and it reaches the store
// before its peers. On its own word alone it would take the primary from all those who use it.
test("a proxy that hears of less than half of the others replaces nobody", () => {
  const unreachable = { type: "unreachable", sinceMs: 3000 } as const;
  expect(decideChange(unreachable, { reaching: 0, notReaching: 1, silent: 7 }).type).toBe("keep");
  expect(decideChange(unreachable, { reaching: 0, notReaching: 3, silent: 4 }).type).toBe("keep");
  expect(decideChange(unreachable, { reaching: 0, notReaching: 4, silent: 3 }).type).toBe("change");
  expect(decideChange({ type: "unlisted" }, { reaching: 0, notReaching: 0, silent: 0 }).type).toBe(
    "change",
  );
});

test("one lost answer is no suspicion; several over a while are", () => {
  const sight = { target: "p", isListed: true, isLeaving: false, hasLostLog: false };
  const first = recordContact(undefined, "p", false, 0);
  expect(findSuspicion({ ...sight, contact: first }, 1000)).toBeUndefined();
  const second = recordContact(first, "p", false, 10);
  expect(findSuspicion({ ...sight, contact: second }, 100)).toBeUndefined();
  expect(findSuspicion({ ...sight, contact: second }, 300)).toEqual({
    type: "unreachable",
    sinceMs: 300,
  });
  const reached = recordContact(second, "p", true, 310);
  expect(findSuspicion({ ...sight, contact: reached }, 900)).toBeUndefined();
  expect(findSuspicion({ ...sight, isListed: false, contact: reached }, 0)?.type).toBe("unlisted");
});

test("a permission lapses by itself", () => {
  expect(isPermitted({ confirmedAt: undefined }, 0)).toBe(false);
  expect(isPermitted({ confirmedAt: 100 }, 100 + permitMs - 1)).toBe(true);
  expect(isPermitted({ confirmedAt: 100 }, 100 + permitMs)).toBe(false);
});

test("only a majority that knows of nothing newer confirms", () => {
  const words = (...versions: readonly number[]) => versions.map((version) => ({ version }));
  const isConfirmed = (answers: readonly { readonly version: number }[], proxies: number) =>
    isConfirmedByPeers(5, answers, proxies, 0, 100);
  expect(isConfirmed(words(5, 5, 4), 7)).toBe(true);
  expect(isConfirmed(words(5, 5), 7)).toBe(false);
  expect(isConfirmed(words(5, 6, 5), 7)).toBe(false);
  expect(isConfirmed([], 2)).toBe(false);
});

// A cut parts the proxies. The larger part has the old primary and can't reach the store, and its proxies
// confirm one another; the smaller part has the store and replaces the primary. It waits for a majority
// that it can't tell; were the wait shorter than the time for which those go on, callers would read at
// the old primary what the new one has overwritten since.
test("proxies without the store stop confirming one another before a change goes on without them", () => {
  const begunAt = 1000;
  // The store's last answer to any of the larger part was asked for just before the change stood there.
  const lastAnswer = begunAt;
  const others = [{ version: 5 }, { version: 5 }, { version: 5 }, { version: 5 }];
  let lastUse = 0;
  for (let now = begunAt; now < begunAt + 60_000; now += 100) {
    if (isConfirmedByPeers(5, others, 9, lastAnswer, now)) lastUse = now + permitMs;
  }
  const toldAt = [begunAt, begunAt + 5, begunAt + 6, begunAt + 7];
  expect(findWaitEnd({ startedAt: begunAt, proxyCount: 9, notifiedAt: toldAt })).toBeGreaterThan(
    lastUse,
  );
  expect(isConfirmedByPeers(5, others, 9, undefined, begunAt)).toBe(false);
});

// The cut heals while the change waits. Once a majority is told, only permissions from before count; once
// all are told, nothing does.
test("a change waits no longer than those need that it has not told", () => {
  const begunAt = 1000;
  const wait = (...toldAt: readonly number[]) =>
    findWaitEnd({ startedAt: begunAt, proxyCount: 5, notifiedAt: [begunAt, ...toldAt] });
  expect(wait(1010)).toBe(begunAt + noMajorityWaitMs);
  expect(wait(1010, 3000)).toBe(3000 + permitMs + 150);
  expect(wait(1010, 3000, 3100)).toBe(3000 + permitMs + 150);
  expect(wait(1010, 3000, 3100, 3200)).toBe(begunAt);
});

// A machine is suspended for seconds. Its steady clock shows none of it, so that a permission measured
// there would outlive its time; the time of day has gone on.
test("a stall shows as clocks that have parted, also through a step of the time of day", () => {
  let steady = 0;
  let wall = 1_000_000;
  const detector = new StallDetector({ monotonic: () => steady, wall: () => wall });
  steady += 500;
  wall += 503;
  expect(detector.detectStall()).toBe(false);
  wall += 3000;
  expect(detector.detectStall()).toBe(true);
  expect(detector.detectStall()).toBe(false);
  wall += 3500 - 2400;
  expect(detector.detectStall()).toBe(true);
});

test("a document survives the store, and what can't be read is none", () => {
  const document = {
    holder: { vm: "a", incarnation: "a-1" },
    groups: {
      g: { type: "serving", round: 2, target: "t" },
      h: { type: "changing", round: 1, from: "u" },
    },
    renewals: 3,
  } as const;
  expect(decodeLeadership(JSON.parse(JSON.stringify(encodeLeadership(document))))).toEqual(
    document,
  );
  for (const value of [null, 3, {}, { groups: { g: { type: "x" } } }]) {
    expect(decodeLeadership(value)).toBeUndefined();
  }
});

// A dark primary answers nothing, and its one connection is taken by a statement that waits for it. No
// second failure comes before that has run out of its time; a probe that fails says as much.
test("a primary that is silent to a probe too is suspected at once", () => {
  const sight = { target: "p", isListed: true, isLeaving: false, hasLostLog: false };
  const reached = recordContact(undefined, "p", true, 50);
  const silent = recordSilence(reached, "p", 100);
  expect(findSuspicion({ ...sight, contact: silent }, 450)).toEqual({
    type: "unreachable",
    sinceMs: 350,
  });
  const back = recordContact(silent, "p", true, 460);
  expect(findSuspicion({ ...sight, contact: back }, 900)).toBeUndefined();
});
