import { afterEach, expect, test } from "@jest/globals";
import type { Reply } from "../../src/statement/index.js";
import { answered } from "../direct/fixture.js";
import { noTransaction } from "../../src/gateway/codec.js";
import { waitUntil } from "../node/cluster.js";
import { commit, findEnd, makeRead, makeWrite } from "./hop.js";
import { Topology } from "../../src/topology/index.js";
import {
  lagging,
  beginPositionRead,
  beginReading,
  countWork,
  hasWork,
  homeCentre,
  learnMark,
  mark,
  nearCentre,
  RedirectFleet,
  type FleetGateway,
  type FleetOptions,
} from "./redirect-fleet.js";

let fleet: RedirectFleet;

afterEach(() => fleet.dispose());

async function start(options: FleetOptions = {}): Promise<RedirectFleet> {
  fleet = await RedirectFleet.start(options);
  return fleet;
}

async function startLagging(options: FleetOptions = {}): Promise<RedirectFleet> {
  fleet = await RedirectFleet.startLagging(options);
  return fleet;
}

function runReads(count: number, database = "own"): Promise<readonly Reply[]> {
  const reads = Array.from({ length: count }, (_, i) => fleet.open(database).run(makeRead(`${i}`)));
  return Promise.all(reads);
}

// All replicas lag, and the near gateway has one place at the primary. If reads waited there, most of them would
// be refused while the primary's own gateway has free places.
test("while replicas lag, a burst of reads is served by the primary's gateway", async () => {
  await startLagging();
  const replies = await runReads(40);
  expect(replies.map(findEnd)).toEqual(Array<string>(40).fill("complete"));
  expect(countWork(fleet.near, "p")).toBe(0);
  expect(countWork(fleet.home, "p")).toBe(40);
  expect(fleet.isAvoided(fleet.near)).toBe(false);
  // What follows within 80 ms goes straight to the primary's gateway.
  const asked = countWork(fleet.near, "q");
  await runReads(10);
  expect(countWork(fleet.near, "q")).toBe(asked);
  expect(countWork(fleet.home, "p")).toBe(50);
});

test.each([
  ["nowhere", (all: RedirectFleet) => all.setPlanned(false)],
  ["at the entry node only", (all: RedirectFleet) => all.setPlanned(false, [all.near.stage])],
  ["at the gateways only", (all: RedirectFleet) => all.setPlanned(false, [all.entry])],
])("nothing is redirected where the part is on %s", async (_name, prepare) => {
  await startLagging();
  prepare(fleet);
  expect((await runReads(3)).map(findEnd)).toEqual(["complete", "complete", "complete"]);
  expect(countWork(fleet.near, "p")).toBe(3);
  expect(countWork(fleet.home, "p")).toBe(0);
});

test("after the period one read probes the near gateway, and a replica's answer brings reads back", async () => {
  await start();
  fleet.answerAll(fleet.home.stage, answered());
  learnMark(fleet.near.stage);
  const first = fleet.open("own").run(makeRead("1"));
  await waitUntil(hasWork(fleet.near, "q"));
  fleet.near.stage.list("q", "work")[0]?.answer(lagging);
  expect(findEnd(await first)).toBe("complete");
  await fleet.entry.advance(80);
  await fleet.near.stage.advance(80);
  const probe = fleet.open("own").run(makeRead("2"));
  await waitUntil(() => countWork(fleet.near, "q") === 2);
  await runReads(3);
  expect(countWork(fleet.near, "q")).toBe(2);
  fleet.near.stage.list("q", "work")[1]?.answer();
  expect(findEnd(await probe)).toBe("complete");
  // Several at a time, and none to the primary's gateway.
  fleet.answerAll(fleet.near.stage, answered());
  expect((await runReads(5)).map(findEnd)).toEqual(Array<string>(5).fill("complete"));
  expect(countWork(fleet.near, "q")).toBe(7);
  expect(countWork(fleet.home, "p")).toBe(4);
});

// A gateway that left all such reads to another would never learn where the primary's log ends, and its replicas
// would not be read again.
test("without a known log position one read at a time goes to the primary from the near gateway", async () => {
  await start();
  fleet.near.stage.setShareRule({ type: "equal", proxies: 1 });
  fleet.answerAll(fleet.home.stage, answered());
  const learning = fleet.open("own").run(makeRead("1"));
  await waitUntil(hasWork(fleet.near, "p"));
  expect((await runReads(5)).map(findEnd)).toEqual(Array<string>(5).fill("complete"));
  expect(countWork(fleet.near, "p")).toBe(1);
  expect(countWork(fleet.home, "p")).toBe(5);
  fleet.near.stage.list("p", "work")[0]?.answer(answered("idle", mark));
  expect(findEnd(await learning)).toBe("complete");
  await fleet.entry.advance(80);
  const fresh = fleet.open("own").run(makeRead("2"));
  await waitUntil(hasWork(fleet.near, "q"));
  fleet.near.stage.list("q", "work")[0]?.answer();
  expect(findEnd(await fresh)).toBe("complete");
});

test("a read that nothing but the primary can answer goes to its gateway at once", async () => {
  await startLagging();
  await runReads(3, "session");
  expect(countWork(fleet.home, "p")).toBe(3);
  expect(fleet.near.stage.redirectCount).toBe(0);
});

test("the first statement of a read-only transaction is redirected, and the rest follows it", async () => {
  await start();
  learnMark(fleet.near.stage);
  fleet.near.stage.isBeginHeld = true;
  const session = fleet.open("own");
  await session.run(beginReading);
  const first = session.run(makeRead("1"));
  await waitUntil(() => fleet.near.stage.list("q", "begin").length > 0);
  fleet.near.stage.list("q", "begin")[0]?.answer(lagging);
  await fleet.near.stage.advance(30);
  await waitUntil(hasWork(fleet.home, "p"));
  fleet.home.stage.list("p", "work")[0]?.answer(answered("transaction"));
  expect((await first).state).toBe("transaction");
  await waitUntil(() => fleet.near.server.countActive() === 0);
  const second = session.run(makeRead("2"));
  await waitUntil(() => countWork(fleet.home, "p") === 2);
  fleet.home.stage.list("p", "work")[1]?.answer(answered("transaction"));
  await second;
  const committed = session.run(commit("3"));
  await waitUntil(() => fleet.home.stage.list("p", "commit").length > 0);
  fleet.home.stage.list("p", "commit")[0]?.answer();
  expect(findEnd(await committed)).toBe("complete");
  expect(fleet.near.stage.redirectCount).toBe(1);
});

// The entry node believes that the primary is in its own data centre, and sends what needs it to the near gateway.
test.each([
  ["a write", [makeWrite("1")]],
  [
    "a transaction that may write",
    [{ type: "begin", id: "b", isReadOnly: false } as const, makeRead("1")],
  ],
])("%s is never redirected", async (_name, statements) => {
  await start();
  fleet.leader = { type: "serving", target: "q" };
  fleet.answerAll(fleet.near.stage, lagging);
  const session = fleet.open("own");
  for (const statement of statements)
    expect(findEnd(await session.run(statement))).toBe("complete");
  expect(countWork(fleet.near, "p")).toBe(1);
  expect(fleet.near.stage.redirectCount).toBe(0);
});

// A node asks for a redirect of work that must not be redirected.
test("a gateway redirects neither writes nor statements of transactions that may write", async () => {
  await startLagging();
  beginPositionRead(fleet.near.stage);
  const inTransaction = { transaction: 1, opens: true, isReadOnly: false };
  const [read, write] = (["read", "write"] as const).map(
    (effect) => ({ type: "access", id: "1", effect, text: "cello" }) as const,
  );
  if (read === undefined || write === undefined) throw new Error("no work");
  expect(await fleet.callNear(write, noTransaction)).toMatchObject({ type: "answered" });
  expect(await fleet.callNear(read, inTransaction)).toMatchObject({ type: "answered" });
  expect(await fleet.callNear(read, noTransaction)).toMatchObject({ type: "redirected" });
});

// A read-only transaction runs at the near gateway's replica, which falls behind or is lost between two statements.
test("a later statement of a read-only transaction is not redirected", async () => {
  await start();
  learnMark(fleet.near.stage);
  fleet.answerAll(fleet.near.stage, answered("transaction"));
  const session = fleet.open("own");
  await session.run(beginReading);
  expect(findEnd(await session.run(makeRead("1")))).toBe("complete");
  fleet.near.stage.groups.find("ledger")?.forgetMarks();
  expect(findEnd(await session.run(makeRead("2")))).toBe("complete");
  expect(countWork(fleet.near, "q")).toBe(2);
  expect(fleet.near.stage.redirectCount).toBe(0);
});

// The home gateway believes that the primary is in the near data centre. A read that was redirected twice could
// travel between the two until its deadline.
test("two gateways that take each other for the primary's redirect a read once", async () => {
  await startLagging();
  fleet.home.leader = { type: "serving", target: "q" };
  beginPositionRead(fleet.home.stage);
  expect((await runReads(1)).map(findEnd)).toEqual(["complete"]);
  expect(countWork(fleet.home, "p")).toBe(1);
  expect(fleet.home.stage.redirectCount).toBe(0);
});

// The entry node has not yet read that a gateway was listed, and sends the read to the one that it knows.
test("an entry node that does not know the primary's gateway uses the next one", async () => {
  await startLagging();
  const { home, spare } = fleet;
  fleet.proxies = fleet.proxies.filter(({ vm }) => vm !== home.vm);
  expect((await runReads(2)).map(findEnd)).toEqual(["complete", "complete"]);
  expect(countWork(spare, "p")).toBe(2);
  expect(spare.stage.redirectCount).toBe(0);
});

// The entry node's list names a gateway of the primary that the near gateway's does not, so that this one runs it.
test("a gateway that knows no gateway of the primary runs the read itself", async () => {
  await startLagging();
  const { home, spare, near } = fleet;
  near.proxies = near.proxies.filter(({ vm }) => vm !== home.vm && vm !== spare.vm);
  expect((await runReads(1)).map(findEnd)).toEqual(["complete"]);
  expect(countWork(near, "p")).toBe(1);
});

// The primary's gateway is lost, before or after the read was sent to it.
test.each([
  ["refuses connections", ({ link }: FleetGateway) => link.setRefusing(true)],
  ["is lost while it runs the read", undefined],
])(
  "a redirected read is answered by the next gateway when the first %s",
  async (_name, prepare) => {
    await start();
    learnMark(fleet.near.stage);
    fleet.answerAll(fleet.near.stage, lagging);
    fleet.answerAll(fleet.spare.stage, answered());
    prepare?.(fleet.home);
    const reply = fleet.open("own").run(makeRead("1"));
    if (prepare === undefined) {
      await waitUntil(hasWork(fleet.home, "p"));
      fleet.home.link.breakAll();
    }
    expect(findEnd(await reply)).toBe("complete");
    expect(countWork(fleet.spare, "p")).toBe(1);
    expect(fleet.spare.stage.redirectCount).toBe(0);
  },
);

// The link to the primary's data centre fails, or both gateways there are lost.
test("the near gateway runs a redirected read when no gateway of the primary accepts it", async () => {
  await startLagging();
  for (const { link } of [fleet.home, fleet.spare]) link.setRefusing(true);
  expect((await runReads(1)).map(findEnd)).toEqual(["complete"]);
  expect(countWork(fleet.near, "p")).toBe(1);
  expect(fleet.near.stage.redirectCount).toBe(1);
});

// The near gateway is lost when the redirect is on its way: nothing has run, and the read is sent elsewhere.
test("a read whose near gateway is lost before its redirect arrives is answered", async () => {
  await startLagging();
  fleet.near.link.setFlow("pass", "hold");
  const reply = fleet.open("own").run(makeRead("1"));
  await new Promise((resolve) => setTimeout(resolve, 50));
  fleet.near.link.breakAll();
  expect(findEnd(await reply)).toBe("complete");
});

test("while the primary changes a read waits at the near gateway, which redirects it afterwards", async () => {
  await startLagging();
  const { near } = fleet;
  near.stage.groups.find("ledger")?.forgetMarks();
  near.stage.primary = { type: "changing", readyInMs: 300, reason: "a change is under way" };
  near.leader = near.stage.primary;
  const reply = fleet.open("own").run(makeRead("1"));
  await waitUntil(() => near.server.countActive() === 1);
  await near.stage.advance(100);
  expect(near.stage.redirectCount).toBe(0);
  near.stage.primary = { type: "changing", readyInMs: 300, reason: "no permit" };
  near.leader = { type: "serving", target: "p" };
  await near.stage.advance(20);
  expect(findEnd(await reply)).toBe("complete");
  expect(near.stage.redirectCount).toBe(1);
  expect(countWork(fleet.home, "p")).toBe(1);
});

// A change of primary begins while a redirect is on its way, so that the entry node knows no gateway of the primary.
test("a redirect that arrives while the primary changes is followed without a second one", async () => {
  await startLagging();
  const reply = fleet.open("own").run(makeRead("1"));
  fleet.leader = { type: "changing", readyInMs: 300, reason: "a change is under way" };
  expect(findEnd(await reply)).toBe("complete");
  expect(fleet.near.stage.redirectCount).toBe(1);
  expect(countWork(fleet.near, "p")).toBe(1);
});

test("a redirect with less than 10 ms left is refused as not run", async () => {
  await start();
  learnMark(fleet.near.stage);
  const reply = fleet.open("own").run(makeRead("1"));
  await waitUntil(hasWork(fleet.near, "q"));
  await fleet.entry.advance(790);
  fleet.near.stage.list("q", "work")[0]?.answer(lagging);
  const { end } = await reply;
  expect(end).toMatchObject({ type: "error", code: "busy" });
  expect(end.type === "error" ? end.text : "").toContain("too little time");
  expect(countWork(fleet.home, "p")).toBe(0);
});

// The way to another region counts only for gateways there. Taken off for all, it would refuse reads whose primary's
// gateway is near and could answer them.
test("with regions a redirect within the region is followed with 60 ms left", async () => {
  const regions = [nearCentre, homeCentre, "c"].map((centre) => [centre, "east"] as const);
  const topology = new Topology(new Map([...regions, ["d", "west"]]));
  await start({ topology });
  learnMark(fleet.near.stage);
  fleet.answerAll(fleet.home.stage, answered());
  const reply = fleet.open("own").run(makeRead("1"));
  await waitUntil(hasWork(fleet.near, "q"));
  await fleet.entry.advance(740);
  fleet.near.stage.list("q", "work")[0]?.answer(lagging);
  expect(findEnd(await reply)).toBe("complete");
  expect(countWork(fleet.home, "p")).toBe(1);
});

// The gateway has almost no time left itself: a redirect would only cost a message before the refusal.
test("a gateway with less than 10 ms left does not redirect", async () => {
  await start();
  learnMark(fleet.near.stage);
  const reply = fleet.open("own").run(makeRead("1"));
  await waitUntil(hasWork(fleet.near, "q"));
  await fleet.near.stage.advance(788);
  fleet.near.stage.list("q", "work")[0]?.answer(lagging);
  await waitUntil(hasWork(fleet.near, "p"));
  fleet.near.stage.list("p", "work")[0]?.answer();
  expect(findEnd(await reply)).toBe("complete");
  expect(fleet.near.stage.redirectCount).toBe(0);
});

// A read whose connection broke may have run. A redirect would say that nothing has run, and cost its team a second
// token.
test("a read that may have run is not redirected", async () => {
  await start();
  learnMark(fleet.near.stage);
  const reply = fleet.open("own").run(makeRead("1"));
  await waitUntil(hasWork(fleet.near, "q"));
  fleet.near.stage.list("q", "work")[0]?.answer({ type: "broken", sent: true, reason: "reset" });
  await fleet.near.stage.advance(25);
  await waitUntil(hasWork(fleet.near, "p"));
  fleet.near.stage.list("p", "work")[0]?.answer();
  expect(findEnd(await reply)).toBe("complete");
  expect(fleet.near.stage.redirectCount).toBe(0);
});

test("an entry node that is the near gateway itself redirects without a message", async () => {
  await startLagging({ isEntryNear: true });
  expect((await runReads(3)).map(findEnd)).toEqual(["complete", "complete", "complete"]);
  expect(countWork(fleet.home, "p")).toBe(3);
  expect(fleet.entry.list("p", "work")).toHaveLength(0);
  expect(fleet.entry.redirectCount).toBeGreaterThan(0);
  const session = fleet.open("own");
  await session.run(beginReading);
  expect(findEnd(await session.run(makeRead("4")))).toBe("complete");
  expect(countWork(fleet.home, "p")).toBe(4);
});

test("a transaction of an entry node that is the near gateway is redirected without a message", async () => {
  await start({ isEntryNear: true });
  learnMark(fleet.entry);
  fleet.entry.isBeginHeld = true;
  fleet.answerAll(fleet.home.stage, answered(), answered("transaction"));
  const session = fleet.open("own");
  await session.run(beginReading);
  const first = session.run(makeRead("1"));
  await waitUntil(() => fleet.entry.list("q", "begin").length > 0);
  fleet.entry.list("q", "begin")[0]?.answer(lagging);
  await fleet.entry.advance(30);
  expect((await first).state).toBe("transaction");
  expect(countWork(fleet.home, "p")).toBe(1);
  expect(session.state).toBe("transaction");
});
