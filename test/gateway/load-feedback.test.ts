import { afterEach, expect, test } from "@jest/globals";
import type { Database } from "../../src/direct/index.js";
import { encodeLoad, type LoadReport } from "../../src/gateway/load-codec.js";
import type { ServeAction } from "../../src/model/index.js";
import type { Reply } from "../../src/statement/index.js";
import { makeDatabase } from "../direct/fixture.js";
import { waitUntil } from "../node/cluster.js";
import { begin, findEnd, group, Hop, makeRead, waitForSent, type HopGateway } from "./hop.js";
import { lagging, learnMark, RedirectFleet } from "./redirect-fleet.js";

let owned: { dispose(): Promise<void> } | undefined;

afterEach(async () => {
  await owned?.dispose();
});

function makeLevel(level: number, fields: Partial<ServeAction> = {}): Database {
  const database = makeDatabase(`level${level}`, { type: "primary" });
  return { ...database, action: { ...database.action, level, ...fields } };
}

/** Longer than any test takes. */
const longMs = 60_000;
/** Level 2 accepts no wait to speak of, so that it closes first. */
const databases = [
  makeLevel(0, { deadlineMs: longMs, maxQueueMs: longMs }),
  makeLevel(1),
  makeLevel(2, { maxQueueMs: 1 }),
];

async function startHop(count = 1, isSlotPlanned = true): Promise<Hop> {
  const hop = await Hop.start(count, { targets: ["p"], databases, isSlotPlanned });
  owned = hop;
  return hop;
}

/** Fills the queue of a gateway with statements of level 0. */
async function fillQueue(hop: Hop, gateway: HopGateway, count = 60) {
  const queue = gateway.stage.groups.find(group);
  queue?.slots.resize("p", "primary", 1);
  const running = Array.from({ length: count }, (_, i) => {
    return hop.open("level0").run(makeRead(`held${i}`));
  });
  await waitUntil(() => (queue?.slots.countWaitingOnlyFor("p") ?? 0) > count / 2);
  return { running };
}

/** Answers all statements at a gateway until they have ended. */
async function answerAll({ stage }: HopGateway, running: readonly Promise<Reply>[]) {
  let isEnded = false;
  const ended = Promise.all(running).then(() => (isEnded = true));
  await waitUntil(() => {
    for (const { answer } of stage.list("p", "work")) answer();
    return isEnded;
  });
  await ended;
}

const findText = ({ end }: Reply): string => (end.type === "error" ? end.text : "");

// Guards against a burst in which each refusal costs a message in each direction.
test("a statement that each gateway would refuse is refused at the entry node, without a message", async () => {
  const hop = await startHop();
  const [gateway] = hop.gateways;
  if (gateway === undefined) throw new Error("no gateway");
  const { running } = await fillQueue(hop, gateway);
  const first = await hop.open("level2").run(makeRead("first"));
  expect(findText(first)).toMatch(/^not run: /);
  expect(hop.refusedLevels).toEqual([]);
  const second = await hop.open("level2").run(makeRead("second"));
  expect(findEnd(second)).toBe("busy");
  expect(findText(second)).toMatch(/^not run: .*; try again in \d+ ms$/);
  expect(hop.refusedLevels).toEqual([2]);
  const more = hop.open("level0").run(makeRead("important"));
  await answerAll(gateway, [...running, more]);
  expect(findEnd(await more)).toBe("complete");
  const ids = gateway.stage
    .list("p", "work")
    .map(({ command }) => command.type === "work" && command.work.id);
  expect(ids).toContain("important");
  expect(ids).not.toContain("second");
});

// Guards against a transaction that is refused halfway, and one that holds something after its refusal.
test("only the first statement of a transaction is refused by reports", async () => {
  const hop = await startHop();
  const [gateway] = hop.gateways;
  if (gateway === undefined) throw new Error("no gateway");
  const session = hop.open("level2");
  await session.run(begin("b"));
  const opening = session.run(makeRead("1"));
  await waitForSent(gateway, "work");
  gateway.stage.list("p", "work")[0]?.answer({
    type: "answered",
    reply: { rows: [], end: { type: "complete", signature: "" }, state: "transaction" },
  });
  expect(findEnd(await opening)).toBe("complete");
  closeLevels(hop, [gateway]);
  const other = hop.open("level2");
  await other.run(begin("b2"));
  expect(findEnd(await other.run(makeRead("o")))).toBe("busy");
  expect(hop.refusedLevels).toEqual([2]);
  const next = session.run(makeRead("2"));
  await waitForSent(gateway, "work", 2);
  gateway.stage.list("p", "work")[1]?.answer();
  expect(findEnd(await next)).toBe("complete");
});

/** Gives an entry node reports by which gateways refuse all levels but the most important one. */
function closeLevels(
  { loads }: Pick<Hop, "loads">,
  gateways: readonly { readonly vm: string }[],
  fields: Partial<LoadReport> = {},
): void {
  const report = { group, role: "primary", waitMs: 60, lowestLevel: 0, ageMs: 0 } as const;
  for (const { vm } of gateways) loads.record(vm, encodeLoad({ ...report, ...fields }));
}

// Guards against a refusal while the second gateway would admit the statement.
test("a statement that the preferred gateway would refuse goes to its substitute", async () => {
  const hop = await startHop(2);
  const { first, second } = await hop.findFirst();
  closeLevels(hop, [first]);
  const answer = hop.open("level2").run(makeRead("moved"));
  await waitForSent(second, "work");
  second.stage.list("p", "work")[0]?.answer();
  expect(findEnd(await answer)).toBe("complete");
  expect(first.stage.list("p", "work")).toHaveLength(0);
});

// Guards against refusals by reports of a gateway that was lost, in place of the attempt at the next one.
test("when a gateway's connection ends its reports decide nothing any more", async () => {
  const hop = await startHop(2);
  const { first, second } = await hop.findFirst();
  closeLevels(hop, [first, second]);
  expect(findEnd(await hop.open("level2").run(makeRead("refused")))).toBe("busy");
  first.link.breakAll();
  await hop.waitForRetry(first);
  const answer = hop.open("level2").run(makeRead("sent"));
  await waitForSent(first, "work");
  first.stage.list("p", "work")[0]?.answer();
  expect(findEnd(await answer)).toBe("complete");
});

// Guards against a statement that is refused halfway through its attempts, by reports that came meanwhile.
test("a read whose gateway is lost is sent to the next one, whatever that reports", async () => {
  const hop = await startHop(2);
  const { first, second } = await hop.findFirst();
  const answer = hop.open("level2").run(makeRead("resent"));
  await waitForSent(first, "work");
  closeLevels(hop, [second]);
  first.link.breakAll();
  first.link.setRefusing(true);
  await waitForSent(second, "work");
  second.stage.list("p", "work")[0]?.answer();
  expect(findEnd(await answer)).toBe("complete");
});

// Guards against a mixed fleet or a deployment without levels whose messages and decisions change.
test("where slots are not planned a gateway sends no load, and an entry node ignores it", async () => {
  const hop = await startHop(2, false);
  const { first } = await hop.findFirst();
  let reports = 0;
  const { loads } = hop;
  const record = loads.record.bind(loads);
  loads.record = (vm, load) => {
    reports += 1;
    record(vm, load);
  };
  closeLevels(hop, hop.gateways);
  reports = 0;
  const answer = hop.open("level2").run(makeRead("1"));
  await waitForSent(first, "work");
  first.stage.list("p", "work")[0]?.answer();
  expect(findEnd(await answer)).toBe("complete");
  expect(reports).toBe(0);
  for (const { stage } of hop.gateways) stage.isSlotPlanned = true;
  const next = hop.open("level2").run(makeRead("2"));
  await waitForSent(first, "work", 2);
  first.stage.list("p", "work")[1]?.answer();
  expect(findEnd(await next)).toBe("complete");
  expect(reports).toBe(1);
  expect(hop.refusedLevels).toEqual([]);
});

/** A fleet whose near gateway finds its replica behind and redirects reads to the primary's gateways. */
async function startRedirecting(): Promise<RedirectFleet> {
  const read = makeDatabase("read2", { type: "replica", maxAgeMs: 2500 });
  const levelled = { ...read, action: { ...read.action, level: 2 } };
  const fleet = await RedirectFleet.start({ stage: { databases: [makeLevel(0), levelled] } });
  owned = fleet;
  for (const { stage } of [fleet.home, fleet.spare]) fleet.answerAll(stage, lagging);
  learnMark(fleet.near.stage);
  fleet.answerAll(fleet.near.stage, lagging);
  return fleet;
}

// Guards against a redirected read that is refused by a busy gateway while the next one would admit it.
test("a redirected read follows the load of the primary's gateways", async () => {
  const fleet = await startRedirecting();
  closeLevels(fleet, [fleet.home]);
  const reply = await fleet.open("read2").run(makeRead("r"));
  expect(findEnd(reply)).toBe("complete");
  expect(fleet.home.stage.sent).toHaveLength(0);
  expect(fleet.spare.stage.list("p", "work")).toHaveLength(1);
});

test("a redirected read that all of its next gateways would refuse is refused at once", async () => {
  const fleet = await startRedirecting();
  closeLevels(fleet, fleet.gateways);
  const reply = await fleet.open("read2").run(makeRead("r"));
  expect(findEnd(reply)).toBe("busy");
  expect(findText(reply)).toMatch(/^not run: .*; try again in \d+ ms$/);
  for (const { stage } of [fleet.home, fleet.spare]) expect(stage.sent).toHaveLength(0);
});
