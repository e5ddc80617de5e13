import { expect, test } from "@jest/globals";
import { noMajorityWaitMs, permitMs } from "../../src/leadership/index.js";
import type {
  LeadershipAnswer,
  LeadershipTracker,
  PeerResult,
  Proxy,
} from "../../src/leadership/index.js";
import { notifyProxies, waitForPermitExpiry } from "../../src/leadership/notification.js";
import { FakeClock } from "../fleet/fakes.js";
import { makeProxy } from "../gateway/builders.js";

const update = {
  leadership: { version: 7, document: { holder: undefined, groups: {} } },
  promoted: [],
};
const answer = { ...update, vm: "", listsAsker: true } as unknown as LeadershipAnswer;
/** The answer of the proxy that was asked. */
const answered: PeerResult<LeadershipAnswer> = { type: "answered", answer };
const silent: PeerResult<LeadershipAnswer> = { type: "silent" };

/** How the attempt to notify a proxy ends: with the number of earlier attempts and the time at its start. */
type Behaviour = (attempt: number, now: number) => PeerResult<LeadershipAnswer>;

interface Wait {
  readonly endedAt: number | undefined;
  readonly attempts: readonly number[];
}

/** Waits for the permits of proxies with the given behaviour; each attempt takes 2 ms. */
async function wait(behaviours: readonly Behaviour[], isListed = true): Promise<Wait> {
  const clock = new FakeClock();
  const proxies = behaviours.map((_, i) => makeProxy(i));
  const attempts = behaviours.map(() => 0);
  const tracker = { latestUpdate: update, adopt: () => undefined } as unknown as LeadershipTracker;
  const share = async (proxy: Proxy): Promise<PeerResult<LeadershipAnswer>> => {
    const index = proxies.findIndex(({ vm }) => vm === proxy.vm);
    const attempt = attempts[index] ?? 0;
    attempts[index] = attempt + 1;
    const result = behaviours[index]?.(attempt, clock.now()) ?? silent;
    await clock.sleep(2);
    return result === answered ? { type: "answered", answer: { ...answer, vm: proxy.vm } } : result;
  };
  const peers = { share, askTarget: () => Promise.resolve({ type: "silent" } as const) };
  let endedAt: number | undefined;
  const change = async () => {
    const first = await notifyProxies({ clock, peers }, tracker, proxies);
    await waitForPermitExpiry({ clock, peers }, tracker, 0, first, isListed);
    endedAt = clock.now();
  };
  void change();
  await clock.advance(2 * noMajorityWaitMs);
  return { endedAt, attempts };
}

const always = (result: PeerResult<LeadershipAnswer>): Behaviour => {
  return () => result;
};

test("there is no wait where all other proxies are notified", async () => {
  expect((await wait([always(answered), always(answered), always(answered)])).endedAt).toBe(2);
});

// A machine that is cut off refuses connections while its process reads at the old primary: stale reads.
test("a proxy whose connection fails is waited for until its permit has expired", async () => {
  const { endedAt } = await wait([always(answered), always(answered), always(silent)]);
  expect(endedAt).toBeGreaterThanOrEqual(permitMs);
  expect(endedAt).toBeLessThan(2 * permitMs);
});

// A proxy is refused while it restarts. It then gets a permit from a proxy that does not know of the change yet, which
// is notified later. Without a second attempt it would use the old primary after the promotion: stale reads.
test("a proxy that restarted before the last one was notified is notified as well", async () => {
  const restarting: Behaviour = (attempt) => (attempt === 0 ? silent : answered);
  const late: Behaviour = (_, now) => (now < 300 ? silent : answered);
  const { endedAt, attempts } = await wait([restarting, late]);
  expect(attempts[0]).toBe(2);
  expect(endedAt).toBeGreaterThan(300);
  expect(endedAt).toBeLessThan(permitMs);
});

// Silent proxies that are cut off from the store confirm one another if they are a majority. Those that refuse
// connections may be on their side, or restart there without the store.
test("without a notified majority the wait lasts until no proxy can confirm another", async () => {
  const { endedAt } = await wait([always(silent), always(silent), always(silent), always(silent)]);
  expect(endedAt).toBeGreaterThanOrEqual(noMajorityWaitMs);
});

// A proxy may have moved to another address, where it runs and uses primaries; its old one refuses connections.
test("without a current list of proxies an unknown one is waited for", async () => {
  const { endedAt } = await wait([always(silent), always(silent)], false);
  expect(endedAt).toBeGreaterThanOrEqual(noMajorityWaitMs);
  const withMajority = await wait([always(silent), always(answered), always(answered)], false);
  expect(withMajority.endedAt).toBeGreaterThanOrEqual(permitMs);
  const withAll = await wait([always(answered), always(answered)], false);
  expect(withAll.endedAt).toBeGreaterThanOrEqual(permitMs);
});

// Another process has got the listed address. Its answer says nothing about the proxy, which runs elsewhere.
test("an answer of another proxy at a listed address does not count", async () => {
  const other = { type: "answered", answer: { ...answer, vm: "vm-9" } } as const;
  const { endedAt } = await wait([always(answered), always(answered), always(other)]);
  expect(endedAt).toBeGreaterThanOrEqual(permitMs);
});

// A proxy that restarts over and over would otherwise be called as fast as it answers, until all permits have expired.
test("a proxy that alternates between no answer and an outdated one is tried with pauses", async () => {
  const leadership = { ...update.leadership, version: 6 };
  const outdated: PeerResult<LeadershipAnswer> = {
    type: "answered",
    answer: { ...answer, vm: "vm-0", leadership },
  };
  const alternating: Behaviour = (attempt) => (attempt % 2 === 0 ? silent : outdated);
  const behaviours = [alternating, always(answered), always(answered)];
  for (const isListed of [true, false]) {
    const { endedAt, attempts } = await wait(behaviours, isListed);
    expect(endedAt).toBeGreaterThanOrEqual(permitMs);
    expect(endedAt).toBeLessThan(2 * permitMs);
    expect(attempts[0]).toBeLessThan(permitMs / 50);
    expect(attempts.slice(1)).toEqual([1, 1]);
  }
});

// Killed proxies return one after the other: the wait ends with the last one, long before their permits would expire.
test("the wait ends when all proxies have answered as new processes", async () => {
  const returning = (last: number): Behaviour => {
    return (attempt) => (attempt < last ? silent : answered);
  };
  const behaviours = [always(answered), returning(1), returning(2), returning(3)];
  const { endedAt, attempts } = await wait(behaviours);
  expect(attempts).toEqual([1, 2, 3, 4]);
  expect(endedAt).toBe(308);
});
