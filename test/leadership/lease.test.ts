import { expect, test } from "@jest/globals";
import { LeadershipFixture } from "./fixture.js";

// A proxy begins a change and can't finish it. Another takes over, orders a promotion and gives the
// duty back. The first begins again: with the token of its first turn, its order would be lower than
// one that was given since.
test("a proxy that takes the duty again does not use the token of an earlier turn", async () => {
  const fixture = new LeadershipFixture();
  const { lease: a, tracker: trackerOfA } = fixture.makeProxy("a");
  const { lease: b, tracker } = fixture.makeProxy("b");
  await a.beginChange("ledger", "i-0", 0);
  if (fixture.stored !== undefined) tracker.adopt({ leadership: fixture.stored, promoted: [] });
  b.observeDocument();
  fixture.clock.time = 6000;
  const round = (await b.beginChange("ledger", "i-0", 1)) ?? 0;
  const between = (await b.renew()) ?? 0;
  await b.endChange("ledger", round, "i-1");
  // It looks at the store all the while, and sees that the other's change is over.
  if (fixture.stored !== undefined) trackerOfA.adopt({ leadership: fixture.stored, promoted: [] });
  a.observeDocument();
  fixture.clock.time = 12_000;
  await a.beginChange("ledger", "i-1", 2);
  expect(round).toBe(2);
  expect(await a.renew()).toBeGreaterThan(between);
});

// Two proxies suspect the same primary. The first is done with its change, and the same target leads
// again, before the second begins. It would replace what was just made, on a suspicion of before.
test("a change that is over is not begun again on the suspicion that led to it", async () => {
  const fixture = new LeadershipFixture();
  const a = fixture.makeProxy("a").lease;
  const b = fixture.makeProxy("b").lease;
  const round = (await a.beginChange("ledger", "i-0", 0)) ?? 0;
  await a.endChange("ledger", round, "i-0");
  expect(await b.beginChange("ledger", "i-0", 0)).toBeUndefined();
  expect(await b.beginChange("ledger", "i-0", round)).toBe(round + 1);
});

// A holder is suspended, and its steady clock with it. By that clock its last write is fresh; by the
// time of day another proxy has had the duty. It looks at the store before it gives an order.
test("a holder that stood still looks at the store before it gives an order", async () => {
  const fixture = new LeadershipFixture();
  let suspendedMs = 0;
  const a = fixture.makeProxy("a", () => fixture.clock.now() + suspendedMs).lease;
  await a.beginChange("ledger", "i-0", 0);
  expect(await a.renew()).toBeDefined();
  suspendedMs = 7000;
  const document = { holder: { vm: "b", incarnation: "b-1" }, groups: {} };
  fixture.stored = { version: 40, document };
  expect(await a.renew()).toBeUndefined();
});

// A primary is cut off from several proxies. One of them replaces it, and the new one is cut off too: another
// proxy sees that first and would change it again at once, and the first one after it. Proxies that take turns
// within a lease order against one another; the second waits, and the first may go on by itself.
test("another proxy changes a group's primary only a lease after it was changed", async () => {
  const fixture = new LeadershipFixture();
  const { lease: a } = fixture.makeProxy("a");
  const { lease: b, tracker } = fixture.makeProxy("b");
  const see = () => {
    if (fixture.stored !== undefined) tracker.adopt({ leadership: fixture.stored, promoted: [] });
    b.observeDocument();
  };
  const first = (await a.beginChange("ledger", "i-0", 0)) ?? 0;
  see();
  await a.endChange("ledger", first, "i-1");
  fixture.clock.time = 100;
  see();
  fixture.clock.time = 3000;
  expect(b.canChangeGroup("ledger")).toBe(false);
  expect(await b.beginChange("ledger", "i-1", first)).toBeUndefined();
  expect(a.canChangeGroup("ledger")).toBe(true);
  fixture.clock.time = 3300;
  expect(b.canChangeGroup("ledger")).toBe(true);
  expect(await b.beginChange("ledger", "i-1", first)).toBe(first + 1);
});
