import { expect, test } from "@jest/globals";
import { LeadershipFixture } from "./fixture.js";

// A proxy begins a change and does not finish it. Another takes the lease over, orders a promotion and releases the
// lease. If the first then reused the token of its earlier lease, the token would be lower than one already used.
test("a proxy that acquires the lease again does not use its earlier token", async () => {
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
  // The first proxy goes on reading the store and sees that the other's change is complete.
  if (fixture.stored !== undefined) trackerOfA.adopt({ leadership: fixture.stored, promoted: [] });
  a.observeDocument();
  fixture.clock.time = 12_000;
  await a.beginChange("ledger", "i-1", 2);
  expect(round).toBe(2);
  expect(await a.renew()).toBeGreaterThan(between);
});

// Two proxies suspect the same primary. The first completes its change, with the same target as primary again, before
// the second begins. On its old suspicion, the second would replace the primary that was just installed.
test("a completed change is not repeated because of the suspicion that caused it", async () => {
  const fixture = new LeadershipFixture();
  const a = fixture.makeProxy("a").lease;
  const b = fixture.makeProxy("b").lease;
  const round = (await a.beginChange("ledger", "i-0", 0)) ?? 0;
  await a.endChange("ledger", round, "i-0");
  expect(await b.beginChange("ledger", "i-0", 0)).toBeUndefined();
  expect(await b.beginChange("ledger", "i-0", round)).toBe(round + 1);
});

// The holder's machine is suspended, and its monotonic clock with it. By that clock its last write is recent, but
// another proxy has acquired the lease. The holder has to read the store before it sends an order.
test("a holder that was suspended reads the store before it sends an order", async () => {
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

// The connection for an order takes long, or the process is frozen meanwhile: the order would follow a successor's.
test("an order is not sent once another proxy may hold the lease", async () => {
  const fixture = new LeadershipFixture();
  let suspendedMs = 0;
  const a = fixture.makeProxy("a", () => fixture.clock.now() + suspendedMs).lease;
  await a.beginChange("ledger", "i-0", 0);
  const token = (await a.renew()) ?? 0;
  expect(a.canSendOrder(token)).toBe(true);
  expect(a.canSendOrder(token - 1)).toBe(false);
  fixture.clock.time = 3500;
  expect(a.canSendOrder(token)).toBe(false);
  await a.renew();
  expect(a.canSendOrder(token)).toBe(true);
  suspendedMs = 7000;
  expect(a.canSendOrder(token)).toBe(false);
});

// A proxy replaces a primary that several proxies can't reach, and the new primary is unreachable too. Without a delay,
// another proxy would replace it at once, then the first one again: each would undo the other's change. The other
// proxy has to wait; the first may continue alone.
test("another proxy replaces a new primary only after a delay", async () => {
  const fixture = new LeadershipFixture();
  const { lease: a } = fixture.makeProxy("a");
  const { lease: b, tracker } = fixture.makeProxy("b");
  const readStore = () => {
    if (fixture.stored !== undefined) tracker.adopt({ leadership: fixture.stored, promoted: [] });
    b.observeDocument();
  };
  const first = (await a.beginChange("ledger", "i-0", 0)) ?? 0;
  readStore();
  await a.endChange("ledger", first, "i-1");
  fixture.clock.time = 100;
  readStore();
  fixture.clock.time = 3000;
  expect(b.canChangeGroup("ledger")).toBe(false);
  expect(await b.beginChange("ledger", "i-1", first)).toBeUndefined();
  expect(a.canChangeGroup("ledger")).toBe(true);
  fixture.clock.time = 3300;
  expect(b.canChangeGroup("ledger")).toBe(true);
  expect(await b.beginChange("ledger", "i-1", first)).toBe(first + 1);
});

// In an incident all refusals to begin a change named another proxy, while in truth the store did not answer.
test("the log tells a store that does not answer from another proxy's lease", async () => {
  const fixture = new LeadershipFixture();
  const { lease: a } = fixture.makeProxy("a");
  const { lease: b } = fixture.makeProxy("b");
  const listReasons = () => fixture.logLines.flatMap(({ fields }) => fields.reason ?? []);
  fixture.isStoreAvailable = false;
  const begun = a.beginChange("ledger", "i-0", 0);
  await fixture.clock.advance(2000);
  expect(await begun).toBeUndefined();
  fixture.isStoreAvailable = true;
  await a.beginChange("ledger", "i-0", 0);
  await b.beginChange("ledger", "i-0", 0);
  await a.beginChange("ledger", "i-0", 0);
  expect(listReasons()).toEqual([
    "the store: no answer in time",
    "a holds the lease",
    "the group is in round 1, not 0",
  ]);
});
