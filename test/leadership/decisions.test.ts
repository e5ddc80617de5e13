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

const createCandidate = (target: string, offset: number, overrides: object = {}): Candidate => ({
  target,
  isLeaving: false,
  report: {
    role: "replica",
    received: { term: { round: 1, vm: "" }, offset },
    round: 1,
    lagMs: 0,
    ...overrides,
  },
});

test("the target with the longest log is chosen; a leaving one only if there is no other", () => {
  const short = createCandidate("a", 3);
  const long = createCandidate("b", 5);
  expect(chooseCandidate([short, long], "old")?.target).toBe("b");
  expect(chooseCandidate([short, { ...long, isLeaving: true }], "old")?.target).toBe("a");
  expect(chooseCandidate([{ ...long, isLeaving: true }], "old")?.target).toBe("b");
  expect(chooseCandidate([], "old")).toBeUndefined();
});

test("among equally long logs the replaced primary's region comes first", () => {
  const far = { ...createCandidate("a", 5), isRemote: true };
  const near = createCandidate("b", 5, { lagMs: 40 });
  expect(chooseCandidate([far, near], "old")?.target).toBe("b");
  expect(chooseCandidate([far, { ...near, isRemote: false }], "old")?.target).toBe("b");
  expect(chooseCandidate([far, { ...near, isLeaving: true }], "old")?.target).toBe("a");
});

// A region must not be preferred to commits that its replica has not received.
test("a longer log in another region is chosen before the replaced primary's region", () => {
  const far = { ...createCandidate("a", 6), isRemote: true };
  expect(chooseCandidate([far, createCandidate("b", 5)], "old")?.target).toBe("a");
});

// The proxy that carried out an earlier change failed after the promotion. Promoting another target, even one with an
// equally long log, would discard writes that the new primary has acknowledged since.
test("a target that is already primary of a newer round is kept", () => {
  const promoted = createCandidate("b", 5, { role: "primary", round: 2 });
  expect(chooseCandidate([createCandidate("a", 9), promoted], "old")?.target).toBe("b");
});

test("a primary is replaced if at least a third of the proxies can't reach it", () => {
  const unreachable = { type: "unreachable", sinceMs: 300 } as const;
  expect(decideChange(unreachable, { reaching: 6, notReaching: 1, silent: 0 }).type).toBe("keep");
  expect(decideChange(unreachable, { reaching: 4, notReaching: 3, silent: 0 }).type).toBe("change");
  expect(decideChange(unreachable, { reaching: 0, notReaching: 1, silent: 0 }).type).toBe("change");
  expect(decideChange({ type: "leaving" }, { reaching: 7, notReaching: 0, silent: 0 }).type).toBe(
    "change",
  );
});

// A proxy was cut off from the other proxies and from the primary. When the partition heals, it reaches the store
// before its peers. Deciding on its own observation, it would replace a primary that all others can use.
test("a proxy that hears from no more than half of the proxies keeps an unreachable primary", () => {
  const unreachable = { type: "unreachable", sinceMs: 3000 } as const;
  expect(decideChange(unreachable, { reaching: 0, notReaching: 1, silent: 7 }).type).toBe("keep");
  expect(decideChange(unreachable, { reaching: 0, notReaching: 3, silent: 4 }).type).toBe("keep");
  expect(decideChange(unreachable, { reaching: 0, notReaching: 4, silent: 3 }).type).toBe("change");
  expect(decideChange({ type: "unlisted" }, { reaching: 0, notReaching: 0, silent: 0 }).type).toBe(
    "change",
  );
});

test("a primary is suspected after several failures over a period, not after one lost answer", () => {
  const observation = { target: "p", isListed: true, isLeaving: false, hasLostLog: false };
  const first = recordContact(undefined, "p", false, 0);
  expect(findSuspicion({ ...observation, contact: first }, 1000)).toBeUndefined();
  const second = recordContact(first, "p", false, 10);
  expect(findSuspicion({ ...observation, contact: second }, 100)).toBeUndefined();
  expect(findSuspicion({ ...observation, contact: second }, 300)).toEqual({
    type: "unreachable",
    sinceMs: 300,
  });
  const reached = recordContact(second, "p", true, 310);
  expect(findSuspicion({ ...observation, contact: reached }, 900)).toBeUndefined();
  expect(findSuspicion({ ...observation, isListed: false, contact: reached }, 0)?.type).toBe(
    "unlisted",
  );
});

test("a permit expires unless it is extended", () => {
  expect(isPermitted({ confirmedAt: undefined }, 0)).toBe(false);
  expect(isPermitted({ confirmedAt: 100 }, 100 + permitMs - 1)).toBe(true);
  expect(isPermitted({ confirmedAt: 100 }, 100 + permitMs)).toBe(false);
});

test("only a majority without a newer document confirms a version", () => {
  const peerVersions = (...versions: readonly number[]) => versions.map((version) => ({ version }));
  const isConfirmed = (answers: readonly { readonly version: number }[], proxyCount: number) =>
    isConfirmedByPeers(5, answers, proxyCount, 0, 100);
  expect(isConfirmed(peerVersions(5, 5, 4), 7)).toBe(true);
  expect(isConfirmed(peerVersions(5, 5), 7)).toBe(false);
  expect(isConfirmed(peerVersions(5, 6, 5), 7)).toBe(false);
  expect(isConfirmed([], 2)).toBe(false);
});

// In a partition, the majority of proxies reaches the old primary but not the store, and they confirm one another. The
// minority reaches the store and replaces the primary. If it did not wait until the majority's permits have expired,
// callers would read values at the old primary that have been overwritten at the new one.
test("proxies without the store stop confirming one another before a change goes on without them", () => {
  const startedAt = 1000;
  // The last request of the majority that the store answered was sent just before the change was stored.
  const lastAnswer = startedAt;
  const others = [{ version: 5 }, { version: 5 }, { version: 5 }, { version: 5 }];
  let lastUse = 0;
  for (let now = startedAt; now < startedAt + 60_000; now += 100) {
    if (isConfirmedByPeers(5, others, 9, lastAnswer, now)) lastUse = now + permitMs;
  }
  const notifiedAt = [startedAt, startedAt + 5, startedAt + 6, startedAt + 7];
  expect(findWaitEnd({ startedAt, proxyCount: 9, notifiedAt })).toBeGreaterThan(lastUse);
  expect(isConfirmedByPeers(5, others, 9, undefined, startedAt)).toBe(false);
});

// The partition heals while a change waits. Once a majority is notified, only earlier permits have to expire; once all
// are notified, the wait ends.
test("a change waits no longer than the proxies that it has not notified require", () => {
  const startedAt = 1000;
  const wait = (...notifiedAt: readonly number[]) =>
    findWaitEnd({ startedAt, proxyCount: 5, notifiedAt: [startedAt, ...notifiedAt] });
  expect(wait(1010)).toBe(startedAt + noMajorityWaitMs);
  expect(wait(1010, 3000)).toBe(3000 + permitMs + 150);
  expect(wait(1010, 3000, 3100)).toBe(3000 + permitMs + 150);
  expect(wait(1010, 3000, 3100, 3200)).toBe(startedAt);
});

// A machine is suspended for seconds. Its monotonic clock does not advance, so that a permit measured on it would be
// used past its expiry; the wall clock does advance.
test("a stall is detected by the changed offset between the clocks, even with a step of the wall clock", () => {
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

test("a document is unchanged after encoding and decoding, and an unreadable one is undefined", () => {
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

// An unreachable primary does not answer, and the only connection to it is occupied by a waiting statement. No second
// failure occurs before that statement times out, so a failed probe has to count as enough failures.
test("a primary that does not answer a probe either is suspected without a second failed statement", () => {
  const observation = { target: "p", isListed: true, isLeaving: false, hasLostLog: false };
  const reached = recordContact(undefined, "p", true, 50);
  const silent = recordSilence(reached, "p", 100);
  expect(findSuspicion({ ...observation, contact: silent }, 450)).toEqual({
    type: "unreachable",
    sinceMs: 350,
  });
  const back = recordContact(silent, "p", true, 460);
  expect(findSuspicion({ ...observation, contact: back }, 900)).toBeUndefined();
});
