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
const answered: PeerResult<LeadershipAnswer> = { type: "answered", answer };
const silent: PeerResult<LeadershipAnswer> = { type: "silent" };
const ended: PeerResult<LeadershipAnswer> = { type: "ended" };

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
  const share = async (proxy: Proxy) => {
    const index = proxies.findIndex(({ vm }) => vm === proxy.vm);
    const attempt = attempts[index] ?? 0;
    attempts[index] = attempt + 1;
    const result = behaviours[index]?.(attempt, clock.now()) ?? silent;
    await clock.sleep(2);
    return result;
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

test("there is no wait where all other proxies are notified or have ended", async () => {
  expect((await wait([always(ended), always(ended), always(ended)])).endedAt).toBe(2);
  expect((await wait([always(answered), always(ended), always(ended)])).endedAt).toBe(4);
});

// A proxy is refused while it restarts. It then gets a permit from a proxy that does not know of the change yet, which
// is notified later. Without a second attempt it would use the old primary after the promotion: stale reads.
test("a proxy that restarted before the last one was notified is notified as well", async () => {
  const restarting: Behaviour = (attempt) => (attempt === 0 ? ended : answered);
  const late: Behaviour = (_, now) => (now < 300 ? silent : answered);
  const { endedAt, attempts } = await wait([restarting, late]);
  expect(attempts[0]).toBe(2);
  expect(endedAt).toBeGreaterThan(300);
  expect(endedAt).toBeLessThan(permitMs);
});

// The restarted proxy can't be reached any more, so it may have a permit for the old document.
test("a proxy that was ended and then falls silent is waited for", async () => {
  const restarting: Behaviour = (attempt) => (attempt === 0 ? ended : silent);
  const { endedAt } = await wait([restarting, always(answered)]);
  expect(endedAt).toBeGreaterThanOrEqual(permitMs);
});

// Silent proxies that are cut off from the store confirm one another if they are a majority. Proxies that have ended
// may restart there without the store and complete it, so that they don't count as notified.
test("ended proxies are no part of a notified majority while others are silent", async () => {
  const { endedAt } = await wait([always(ended), always(ended), always(silent), always(silent)]);
  expect(endedAt).toBeGreaterThanOrEqual(noMajorityWaitMs);
});

// A proxy may have moved to another address, where it runs and uses primaries; its old one refuses connections.
test("without a current list of proxies a refused connection proves nothing", async () => {
  const { endedAt } = await wait([always(ended), always(ended)], false);
  expect(endedAt).toBeGreaterThanOrEqual(noMajorityWaitMs);
  const withMajority = await wait([always(ended), always(answered), always(answered)], false);
  expect(withMajority.endedAt).toBeGreaterThanOrEqual(permitMs);
});

// Ended proxies are tried again without a pause once the others are notified. If that held for other states too, a
// proxy that restarts over and over would be called as fast as it answers, until all permits have expired.
test("a proxy that alternates between ended and an outdated answer is tried with pauses", async () => {
  const leadership = { ...update.leadership, version: 6 };
  const outdated: PeerResult<LeadershipAnswer> = {
    type: "answered",
    answer: { ...answer, leadership },
  };
  const alternating: Behaviour = (attempt) => (attempt % 2 === 0 ? ended : outdated);
  const behaviours = [alternating, always(answered), always(answered)];
  const unlisted = await wait(behaviours, false);
  expect(unlisted.endedAt).toBeGreaterThanOrEqual(permitMs);
  expect(unlisted.endedAt).toBeLessThan(2 * permitMs);
  expect(unlisted.attempts[0]).toBeLessThan(permitMs / 50);
  const listed = await wait(behaviours);
  expect(listed.attempts).toEqual([3, 1, 1]);
  expect(listed.endedAt).toBeGreaterThan(100);
});

// Each answer makes the earlier refusals too old, so that the remaining ended proxies are tried once more.
test("the wait ends when ended proxies return one after the other", async () => {
  const returning = (last: number): Behaviour => {
    return (attempt) => (attempt < last ? ended : answered);
  };
  const behaviours = [always(answered), returning(1), returning(2), returning(3)];
  const { endedAt, attempts } = await wait(behaviours);
  expect(attempts).toEqual([1, 2, 3, 4]);
  expect(endedAt).toBe(8);
});

test("a proxy that answers is notified once", async () => {
  const { attempts } = await wait([always(answered), always(ended)]);
  expect(attempts).toEqual([1, 2]);
});
