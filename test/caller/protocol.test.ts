import { expect, test } from "@jest/globals";
import fc from "fast-check";
import pgProtocol from "pg-protocol";
import { setViolationHandler, type Outcome } from "../../src/model/index.js";
import {
  createFailedOutcome,
  createServerStarter,
  type Reply,
  sendRaw,
  serveAction,
  startupMessage,
} from "./fake.js";

const { bind, close, describe, end, execute, flush, parse, query, sync } = pgProtocol.serialize;

const { start, find } = createServerStarter();

const startup = startupMessage({ user: "acme", database: "g" });

/** Sends messages after the start-up and returns the types of the replies, split at each `Z`. */
async function sendMessages(messages: readonly Uint8Array[]): Promise<readonly string[]> {
  const running = find();
  if (running === undefined) throw new Error("no server");
  const answer = await sendRaw(running.address, startup, Buffer.concat([...messages, end()]));
  let types = "";
  for (let at = 0; at < answer.length; at += answer.readUInt32BE(at + 1) + 1) {
    types += String.fromCharCode(answer[at] ?? 0);
    expect(at + answer.readUInt32BE(at + 1) + 1).toBeLessThanOrEqual(answer.length);
  }
  return types.split("Z").slice(1);
}

const p = { name: "p", text: "select v from t" };
const useP = [bind({ statement: "p" }), execute(), sync()];

test("a statement described before a Flush can be bound afterwards", async () => {
  const { group } = await start();
  const described = [parse(p), describe({ type: "S", name: "p" }), flush()];
  expect(await sendMessages([...described, ...useP])).toEqual(["1T2C", ""]);
  expect(group.frames.join("")).toBe("PDSPBES");
});

test("after an error before a Flush, messages are skipped up to the Sync", async () => {
  const { group } = await start();
  const described = [describe({ type: "S", name: "p" }), flush()];
  expect(await sendMessages([...described, parse(p), flush(), ...useP, query("select 1")])).toEqual(
    ["E", "C", ""],
  );
  expect(group.statements).toEqual(["select 1"]);
});

// If the Query were answered, the caller would get two errors before one ReadyForQuery, and would take
// the second for the answer to its next request. The property below reaches this case with seed 101.
test("a Query between an error and the Sync has no answer of its own", async () => {
  await start();
  const described = [describe({ type: "S", name: "p" }), flush()];
  expect(await sendMessages([...described, query("listen x"), sync(), query("select 1")])).toEqual([
    "E",
    "C",
    "",
  ]);
});

test("an empty batch and the closing of a statement need no target", async () => {
  const { group } = await start();
  expect(await sendMessages([sync(), query(""), close({ type: "S", name: "p" }), sync()])).toEqual([
    "",
    "I",
    "3",
    "",
  ]);
  expect(group.requests).toEqual([]);
});

test("statement names are checked against the session: duplicate, unknown, closed and discarded", async () => {
  await start();
  const answers = await sendMessages([
    ...[parse(p), sync()],
    ...[parse(p), sync()],
    ...useP,
    ...[close({ type: "S", name: "p" }), sync()],
    ...useP,
    ...[parse(p), sync()],
    query("discard all"),
    ...useP,
  ]);
  expect(answers).toEqual(["1", "E", "2C", "3", "E", "1", "C", "E", ""]);
});

test("a malformed message closes the connection after the pending answers", async () => {
  await start();
  const bad = Buffer.from("B\0\0\0\x05x");
  expect(await sendMessages([query("select 1"), bad, sync(), query("select 2")])).toEqual([
    "C",
    "E",
  ]);
});

// A target's answer does not match the request, so it may be another caller's. Outside tests the
// violation is counted and logged, not thrown; the caller must get an error and no byte of the answer.
test("an answer that does not match the request is replaced by an error", async () => {
  await start(() => ({ raw: Buffer.from("1\0\0\0\x04") }));
  const violations: string[] = [];
  const before = setViolationHandler((invariant) => violations.push(invariant));
  expect(await sendMessages([parse(p), ...useP, query("select 1")])).toEqual(["12E"]);
  setViolationHandler(before);
  expect(violations).toEqual(["wholeOwnAnswer"]);
});

// The target's CommandComplete has arrived, but the write can't be acknowledged any more. The caller
// must see 08007 and no "INSERT 0 1": a driver that resolves on the command tag would report the
// write as done.
test("a write that may have run gets no CommandComplete", async () => {
  const { address } = await start(() => ({ outcome: createFailedOutcome("mayHaveRun") }));
  expect(await sendMessages([query("insert into t values (1)")])).toEqual(["E", ""]);
  const answer = await sendRaw(address, startup, query("insert into t values (1)"), end());
  expect(answer.toString()).toMatch(/C08007.*verdict: mayHaveRun/s);
});

const retrying = () => ({
  rule: "r",
  action: { ...serveAction, retry: { attempts: 2 } } as typeof serveAction,
});
const lostOwner: Outcome = {
  type: "failed",
  verdict: { type: "notRun", reason: "noOwner", retryAfterMs: 1 },
  message: "gone",
};

/** Returns each of `outcomes` once, then the default reply. */
function replyInTurn(...outcomes: readonly Outcome[]): () => Reply {
  const left = [...outcomes];
  return () => {
    const outcome = left.shift();
    return outcome === undefined ? {} : { outcome };
  };
}

// The proxy that owns the group fails; the next owner is known shortly afterwards.
test.each([
  ["a write that has not run", "insert into t values (1)", lostOwner],
  ["a read that may have run", "select 1", createFailedOutcome("mayHaveRun")],
  [
    "a keyed write",
    "insert into t values (1) /*idempotency_key='k'*/",
    createFailedOutcome("mayHaveRun"),
  ],
])("%s is retried if its owner was lost", async (_, text, outcome) => {
  const { connect, group } = await start(replyInTurn(outcome), { match: retrying });
  const client = await connect();
  expect((await client.query(text)).command).toMatch(/SELECT|INSERT/);
  expect([group.opened, group.closed]).toEqual([2, 2]);
});

// The write with an idempotency key may have been applied by the owner that was lost, and the next
// owner refuses it. `notRun` is true of the second attempt only: a caller that trusts it would
// repeat the write.
test("the verdict of the first attempt stands if the second did not run", async () => {
  const { connect } = await start(
    replyInTurn(createFailedOutcome("mayHaveRun"), createFailedOutcome("notRun")),
    {
      match: retrying,
    },
  );
  const client = await connect();
  const pending = client.query("insert into t values (1) /*idempotency_key='k'*/");
  await expect(pending).rejects.toMatchObject({ code: "08007" });
});

test.each([
  ["a write without a key", "insert into t values (1)", createFailedOutcome("mayHaveRun")],
  ["a request that the owner refuses", "select 1", createFailedOutcome("notRun")],
])("%s is not retried", async (_, text, outcome) => {
  const { connect, group } = await start(replyInTurn(outcome), { match: retrying });
  const client = await connect();
  await expect(client.query(text)).rejects.toMatchObject({ detail: /verdict/ });
  expect(group.statements).toEqual([text]);
});

test("each Sync and Query gets one answer for any sequence of messages", async () => {
  await start((text) => {
    if (text.startsWith("bad")) return { error: "no" };
    if (text === "lost") return { outcome: createFailedOutcome("notRun") };
    return { status: text === "begin" || text === "in" ? "T" : "I" };
  });
  const names = fc.constantFrom("", "a", "b");
  const texts = fc.constantFrom("select 1", "begin", "in", "bad", "lost", "commit", "listen x", "");
  const message = fc.oneof(
    fc.tuple(names, texts).map(([name, text]) => parse({ name, text })),
    names.map((statement) => bind({ statement })),
    names.map((name) => describe({ type: "S", name })),
    names.map((name) => close({ type: "S", name })),
    texts.map(query),
    ...[execute(), sync(), sync(), flush(), describe({ type: "P" })].map(fc.constant),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(message, { maxLength: 24 }), async (list) => {
      const due = list.filter((m) => m[0] === 0x53 || m[0] === 0x51).length;
      const answers = (await sendMessages([...list, sync()])).slice(0, -1);
      // After an error before a Flush, Queries are skipped up to the Sync.
      const hasFlush = list.some((m) => m[0] === 0x48);
      expect(answers.length).toBeLessThanOrEqual(due + 1);
      if (!hasFlush) expect(answers).toHaveLength(due + 1);
      for (const types of answers) expect(types).toMatch(/^[^E]*E?[^E]*$/);
    }),
    { seed: 17, numRuns: 150 },
  );
});
