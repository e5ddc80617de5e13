import { afterEach, expect, jest, test } from "@jest/globals";
import type { Reply, Statement } from "../../src/statement/index.js";
import { waitUntil } from "../node/cluster.js";
import { begin, findEnd, Hop, makeRead, makeWrite, type HopGateway } from "./hop.js";

let hop: Hop;

afterEach(() => hop.dispose());

async function start(isSlotPlanned = true) {
  hop = await Hop.start(2, { isSlotPlanned });
  return hop.findFirst();
}

const wasSent = ({ stage }: HopGateway) =>
  stage.sent.some(({ command }) => command.type === "work");

/** Runs a statement, and answers it at the gateway that gets it, which is returned. */
async function run(database: string, statement: Statement): Promise<HopGateway> {
  for (const { stage } of hop.gateways) stage.sent.length = 0;
  const reply = hop.open(database).run(statement);
  await waitUntil(() => hop.gateways.some(wasSent));
  const gateway = hop.gateways.find(wasSent);
  if (gateway === undefined) throw new Error("no gateway got the statement");
  gateway.stage.sent.find(({ command }) => command.type === "work")?.answer();
  expect(findEnd(await reply)).toBe("complete");
  return gateway;
}

test("a part of the reads goes to the other gateway, and nothing else does", async () => {
  const { first, second } = await start();
  expect(await run("own", makeRead("1"))).toBe(first);
  // The answer was measured.
  expect(hop.shares.list()[0]?.share).toBeLessThan(1);
  hop.draw = 0;
  expect(await run("own", makeRead("2"))).toBe(second);
  expect(await run("own", makeWrite("3"))).toBe(first);
  expect(await run("primary", makeRead("4"))).toBe(first);
});

// Reads of the primary wait for its slots at the first gateway alone. Measured beside reads of replicas, they would
// make the first gateway seem slow, and reads would leave it without need.
test("reads that have to go to the primary's gateway are not measured", async () => {
  const { first } = await start();
  const record = jest.spyOn(hop.shares, "record");
  expect(await run("own", makeRead("1"))).toBe(first);
  expect(record).toHaveBeenCalledTimes(1);
  expect(await run("primary", makeRead("2"))).toBe(first);
  expect(record).toHaveBeenCalledTimes(1);
});

test("a transaction that may write stays at the acting gateway", async () => {
  const { first } = await start();
  hop.draw = 0;
  const session = hop.open("own");
  await session.run(begin("1"));
  const reply = session.run(makeRead("2"));
  await waitUntil(() => hop.gateways.some(wasSent));
  expect(hop.gateways.filter(wasSent)).toEqual([first]);
  first.stage.list("p", "work")[0]?.answer();
  await reply;
});

// The other gateway may have a single connection to each target. A transaction that holds it between its statements
// would make the reads there wait.
test("a read-only transaction stays at the first gateway", async () => {
  const { first } = await start();
  hop.draw = 0;
  const session = hop.open("own");
  await session.run({ type: "begin", id: "1", isReadOnly: true });
  const reply = session.run(makeRead("2"));
  await waitUntil(() => hop.gateways.some(wasSent));
  expect(hop.gateways.filter(wasSent)).toEqual([first]);
  first.stage.sent.find(({ command }) => command.type === "work")?.answer();
  await reply;
});

test("where slots are not planned all reads go to the first gateway", async () => {
  const { first } = await start(false);
  hop.draw = 0;
  expect(await run("own", makeRead("1"))).toBe(first);
  expect(hop.shares.list()).toEqual([]);
});

// The other gateway, its link or its server is lost before or after a read was sent to it. The read has to be
// answered by the first one.
test.each([
  ["refuses connections", ({ link }: HopGateway) => link.setRefusing(true), true],
  ["is leaving", (gateway: HopGateway) => (gateway.refusal = "this node is leaving"), true],
  ["is lost while it runs the read", ({ link }: HopGateway) => link.breakAll(), false],
])(
  "a read is answered by the first gateway when the other one %s",
  async (_name, fail, isBefore) => {
    const { first, second } = await start();
    hop.draw = 0;
    if (isBefore) fail(second);
    const reply: Promise<Reply> = hop.open("own").run(makeRead("1"));
    if (!isBefore) {
      await waitUntil(() => wasSent(second));
      fail(second);
    }
    await waitUntil(() => wasSent(first));
    first.stage.sent.find(({ command }) => command.type === "work")?.answer();
    expect(findEnd(await reply)).toBe("complete");
  },
);
