import { expect, test } from "@jest/globals";
import { notifyProxies, waitForPermitExpiry } from "../../src/leadership/notification.js";
import type { LeadershipAnswer, LeadershipTracker, Proxy } from "../../src/leadership/index.js";
import { FakeClock } from "../fleet/fakes.js";
import { makeProxy } from "../gateway/builders.js";
import { roundTripMs } from "../node/delayed-link.js";

// A proxy that counted as not notified would make each change of primary wait until its permit has expired.
test("a change of primary notifies proxies at a round trip of 60 ms and waits for no permit", async () => {
  const clock = new FakeClock();
  const update = {
    leadership: { version: 7, document: { holder: undefined, groups: {} } },
    promoted: [],
  };
  const tracker = { latestUpdate: update, adopt: () => undefined } as unknown as LeadershipTracker;
  const peers = {
    share: async ({ vm }: Proxy) => {
      await clock.sleep(2 * roundTripMs);
      const answer = { ...update, vm, listsAsker: true } as unknown as LeadershipAnswer;
      return { type: "answered", answer } as const;
    },
    askTarget: () => Promise.resolve({ type: "silent" } as const),
  };
  const others = Array.from({ length: 24 }, (_, i) => makeProxy(i));
  let endedAt: number | undefined;
  const change = async () => {
    const notified = await notifyProxies({ clock, peers }, tracker, others);
    await waitForPermitExpiry({ clock, peers }, tracker, 0, notified, true);
    endedAt = clock.now();
  };
  void change();
  await clock.advance(1000);
  expect(endedAt).toBe(2 * roundTripMs);
});
