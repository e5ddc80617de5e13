import { afterEach, expect, test } from "@jest/globals";
import { serialize } from "pg-protocol";
import { DisposableStore, firstTerm, type MessageSink } from "../../src/model/index.js";
import { OpenError, PgTargetConnector, PgTargetControl } from "../../src/target/index.js";
import type { StandinTarget, StandinTargetOptions } from "../../standin/target/index.js";
import { startTargets, term } from "../standin/build.js";

const never = new AbortController().signal;
const timeoutMs = 5_000;
let store = new DisposableStore();

afterEach(async () => {
  await store.dispose();
  store = new DisposableStore();
});

async function start(options: Partial<StandinTargetOptions> = {}, count = 1) {
  const all = await startTargets(store, count, options);
  return all as [StandinTarget, StandinTarget, StandinTarget];
}

async function open({ target }: StandinTarget, options = {}) {
  const session = await new PgTargetConnector(options).open(target, "ledger", timeoutMs);
  store.defer(() => session.close());
  return session;
}

function collect() {
  const messages: Buffer[] = [];
  const sink: MessageSink = (m) => void messages.push(Buffer.from(m));
  return {
    messages,
    sink,
    codes: () => messages.map((m) => String.fromCharCode(m[0] ?? 0)).join(""),
  };
}

test("an exchange delivers complete messages up to the end of the batch", async () => {
  const session = await open((await start())[0]);
  const answer = collect();
  const batch = Buffer.concat([
    serialize.parse({ text: "SELECT $1::int AS n" }),
    serialize.bind({ values: ["7"] }),
    serialize.describe({ type: "P" }),
    serialize.execute({}),
    serialize.sync(),
  ]);
  const result = await session.exchange(batch, answer.sink, never);
  expect(result).toEqual({ type: "ready", status: "I" });
  expect(answer.codes()).toBe("12TDC");
  const begun = await session.exchange(serialize.query("BEGIN"), collect().sink, never);
  expect(begun).toEqual({ type: "ready", status: "T" });
});

// The second statement of a pipeline fails. The target skips the messages up to Sync and rolls back the
// first statement as well, since both belong to one implicit transaction.
test("an error within a pipeline rolls the pipeline back and ends at its Sync", async () => {
  const [target] = await start();
  const session = await open(target);
  const run = (texts: readonly string[]) => {
    const answer = collect();
    const parts = texts.flatMap((text) => [
      serialize.parse({ text }),
      serialize.bind({}),
      serialize.execute({}),
    ]);
    const result = session.exchange(
      Buffer.concat([...parts, serialize.sync()]),
      answer.sink,
      never,
    );
    return result.then((r) => ({ result: r, codes: answer.codes() }));
  };
  await run(["CREATE TABLE seat (id int PRIMARY KEY)"]);
  const insert = "INSERT INTO seat VALUES (1)";
  const failed = await run([insert, insert, "INSERT INTO seat VALUES (2)"]);
  expect(failed).toEqual({ result: { type: "ready", status: "I" }, codes: "12C12E" });
  expect(await run(["SELECT id FROM seat"])).toMatchObject({ codes: "12C" });
  expect(target.member.status.mark.offset).toBe(1);
});

test("a slow sink receives a large answer completely", async () => {
  const session = await open((await start())[0]);
  let rows = 0;
  const sink: MessageSink = async (m) => {
    if (m[0] === 0x44 && ++rows % 500 === 0) await new Promise((resolve) => setImmediate(resolve));
  };
  const text = "SELECT i, repeat('x', 200) FROM generate_series(1, 20000) AS g(i)";
  expect(await session.exchange(serialize.query(text), sink, never)).toMatchObject({
    type: "ready",
  });
  expect(rows).toBe(20_000);
  expect(session.isUsable).toBe(true);
});

// The caller gives up while its statement runs, and the answer arrives later. If the connection were used
// again, the next caller would receive that answer. So aborting an exchange closes its connection.
test("aborting an exchange closes its connection", async () => {
  const session = await open((await start())[0]);
  const abort = new AbortController();
  const result = session.exchange(
    serialize.query("SELECT pg_sleep(5)"),
    collect().sink,
    abort.signal,
  );
  abort.abort();
  expect(await result).toMatchObject({ type: "broken", sent: true });
  const after = await session.exchange(serialize.query("SELECT 1"), collect().sink, never);
  expect(after).toMatchObject({ type: "broken", sent: false });
});

// The connection is dead: bytes are accepted but no answer arrives. Without the progress timeout the
// request would wait for its whole deadline.
test("a connection without answers is closed after its progress timeout", async () => {
  const [target] = await start();
  const session = await open(target, { progressTimeoutMs: 20 });
  target.silenceConnections();
  const result = await session.exchange(serialize.query("SELECT 1"), collect().sink, never);
  expect(result).toEqual({ type: "broken", sent: true, reason: "no progress" });
  expect(session.isUsable).toBe(false);
});

test("opening a connection fails with the target's reason, or when no answer arrives in time", async () => {
  const [target] = await start({ connections: 1 });
  await open(target);
  await expect(open(target)).rejects.toMatchObject({ sqlState: "53300" });
  target.faults.running.close();
  const late = new PgTargetConnector().open(target.target, "ledger", 20);
  await expect(late).rejects.toBeInstanceOf(OpenError);
});

test("control reports a target's status and makes it fence, promote and follow", async () => {
  const [a, b] = await start({}, 2);
  const control = store.add(new PgTargetControl());
  expect(await control.getStatus(b.target, { timeoutMs })).toEqual({
    type: "accepted",
    status: b.member.status,
  });
  expect(await control.promote(b.target, term(1), timeoutMs)).toMatchObject({ type: "refused" });
  expect(await control.fence(b.target, term(1), timeoutMs)).toMatchObject({ type: "accepted" });
  expect(await control.promote(b.target, term(1), timeoutMs)).toMatchObject({ type: "accepted" });
  const followed = await control.follow(a.target, b.target, term(1), timeoutMs);
  expect(followed).toMatchObject({
    status: { role: "replica", follows: b.name, fencedAt: term(1) },
  });
  const older = await control.fence(a.target, firstTerm, timeoutMs);
  expect(older).toEqual({ type: "refused", fencedAt: term(1) });
});

// A status request waits at the target for a change. A fence that is sent meanwhile must not queue behind
// it, because the fence is that change.
test("a long-polling status request is answered as soon as the fence changes", async () => {
  const [target] = await start();
  const control = store.add(new PgTargetControl());
  const { mark, fencedAt } = target.member.status;
  const after = { mark, fencedAt };
  const waiting = control.getStatus(target.target, { timeoutMs: 20_000, after, waitMs: 20_000 });
  await control.fence(target.target, term(3), timeoutMs);
  expect(await waiting).toMatchObject({ status: { fencedAt: term(3) } });
});

// Control connections stop answering while the target keeps running. The request resolves as unreachable in
// time, and once the fault is over a new connection is used: the dead one is not used again.
test("a target that does not answer is unreachable, and the next request uses a new connection", async () => {
  const [target] = await start();
  const control = store.add(new PgTargetControl());
  target.faults.control.close();
  const cut = await control.getStatus(target.target, { timeoutMs: 20 });
  expect(cut).toMatchObject({ type: "unreachable" });
  target.faults.control.open();
  expect(await control.getStatus(target.target, { timeoutMs })).toMatchObject({ type: "accepted" });
  await target.kill();
  expect(await control.getStatus(target.target, { timeoutMs, fresh: true })).toMatchObject({
    type: "unreachable",
  });
});
