import { expect, test } from "@jest/globals";
import {
  createFailedOutcome,
  FakeGroup,
  createMark,
  createServerStarter,
  serveAction,
  startServer,
} from "./fake.js";

const { start } = createServerStarter();

const rows = { rows: ["one", "two"] };

test("a simple query is answered, and its traits are passed to the group", async () => {
  const { group, connect } = await start(() => rows);
  const client = await connect();
  const result = await client.query("select v from t /* kind='browse' */");
  expect(result.rows).toEqual([{ v: "one" }, { v: "two" }]);
  expect(group.requests[0]?.traits).toEqual({
    group: "g",
    team: "acme",
    plan: "paying",
    kind: "browse",
    effect: "read",
    tables: ["t"],
    transaction: false,
  });
});

test("a write carries its idempotency key, with a digest that other tags do not change", async () => {
  const { group, connect } = await start();
  const client = await connect();
  for (const kind of ["a", "b"]) {
    await client.query(`insert into t values ($1) /*idempotency_key='k',kind='${kind}'*/`, [1]);
  }
  await client.query("insert into t values ($1) /*idempotency_key='k'*/", [2]);
  const [first, second, other] = group.requests.map((r) => r.idempotency);
  expect(first?.key).toBe("k");
  expect(second).toEqual(first);
  expect(other?.digest).not.toBe(first?.digest);
});

test("radishwalk settings apply to the session, and an idempotency key to one write only", async () => {
  const { group, connect } = await start();
  const client = await connect();
  await client.query("set radishwalk.kind = 'checkin'");
  await client.query({ text: "set radishwalk.idempotency_key = 'k1'", values: [] });
  await client.query("insert into t values (1)");
  await client.query("insert into t values (2)");
  expect(group.requests.map((r) => r.traits.kind)).toEqual(["checkin", "checkin"]);
  expect(group.requests.map((r) => r.idempotency?.key)).toEqual(["k1", undefined]);
  await expect(client.query("set radishwalk.colour = 'x'")).rejects.toMatchObject({
    code: "42704",
  });
});

test("a kind may be given in the start-up message", async () => {
  const { group, connect } = await start();
  const client = await connect({ options: "-c radishwalk.kind=browse" });
  const named = await connect({ application_name: "kind=checkin" });
  await client.query("select 1");
  await named.query("select 1");
  expect(group.requests.map((r) => r.traits.kind)).toEqual(["browse", "checkin"]);
});

// Two callers prepare different statements under the same name. Connections to targets are shared, so
// the second caller would otherwise run the first one's statement.
test("names of prepared statements exist only in the session and never reach a target", async () => {
  const { group, connect } = await start(() => rows);
  const [one, two] = [await connect(), await connect()];
  const run = (client: typeof one, text: string) => client.query({ name: "p", text, values: [1] });
  await run(one, "select v from a where i = $1");
  await run(two, "select v from b where i = $1");
  expect((await run(one, "select v from a where i = $1")).rows).toHaveLength(2);
  expect(group.statements.map((s) => s.slice(14, 15))).toEqual(["a", "b", "a"]);
  expect(group.frames.join("")).toBe("PBDES".repeat(3));
  expect([...group.names]).toEqual([""]);
});

test("a transaction keeps one conversation from BEGIN to its end", async () => {
  const { group, connect } = await start((text) => ({ status: text === "commit" ? "I" : "T" }));
  const client = await connect();
  await client.query("begin");
  await client.query("select v from t");
  await client.query("commit");
  expect(group.requests.map((r) => [r.traits.transaction, r.traits.effect])).toEqual([
    [true, "write"],
    [true, "write"],
    [true, "write"],
  ]);
  expect([group.opened, group.closed]).toEqual([1, 1]);
});

test("the connection stays in sync after an error of the target", async () => {
  const { connect } = await start((text) => (text.includes("bad") ? { error: "no" } : rows));
  const client = await connect();
  await expect(client.query("select 'bad'", [])).rejects.toMatchObject({ code: "23505" });
  await expect(client.query("select 'bad'")).rejects.toMatchObject({ code: "23505" });
  expect((await client.query("select v from t")).rows).toHaveLength(2);
});

test("a rule refuses a request at once, with a verdict and a retry time", async () => {
  const refuse = { type: "refuse", retryAfterMs: 700, reason: "no trials now" } as const;
  const { group, connect } = await start(undefined, {
    match: ({ effect }) => ({ rule: "r", action: effect === "write" ? refuse : serveAction }),
  });
  const client = await connect();
  for (const values of [undefined, [1]]) {
    await expect(client.query("delete from t", values)).rejects.toMatchObject({
      code: "53400",
      message: "no trials now",
      detail: "verdict: notRun; reason: refusedByRule",
      hint: "retry after 700 ms",
    });
  }
  await client.query("select 1");
  expect(group.statements).toEqual(["select 1"]);
});

// The connection to the target is lost between two statements of a transaction. The caller gets
// the verdict, then 25P02 until it ends the transaction, as if the target had aborted it. If the
// session returned to autocommit, the rest of the transaction would be applied statement by statement.
test("a transaction that lost its target stays aborted until the caller ends it", async () => {
  const { group, connect } = await start((text) =>
    text.startsWith("update") ? { outcome: createFailedOutcome("notRun") } : { status: "T" },
  );
  const client = await connect();
  await client.query("begin");
  await expect(client.query("update t set a = 1")).rejects.toMatchObject({ code: "57P03" });
  await expect(client.query("insert into t values (1)")).rejects.toMatchObject({ code: "25P02" });
  expect((await client.query("commit")).command).toBe("ROLLBACK");
  expect([group.opened, group.closed]).toEqual([1, 1]);
  expect(group.statements).not.toContain("insert into t values (1)");
});

test.each(["set search_path = x", "copy t from stdin", "set radishwalk.kind = 'x'; select 1"])(
  "%s is refused without being run",
  async (text) => {
    const { group, connect } = await start();
    const client = await connect();
    await expect(client.query(text)).rejects.toMatchObject({ code: "0A000" });
    expect(group.requests).toEqual([]);
  },
);

// A caller writes through one proxy and moves to another, which has no state of its session. Its token
// contains the mark, so that the read there waits for a replica that has the write.
test("a token carries the session's mark to another proxy", async () => {
  const { connect } = await start(() => ({ mark: createMark(7) }));
  const client = await connect();
  let token = "";
  const { connection } = client as unknown as { connection: NodeJS.EventEmitter };
  connection.on("parameterStatus", (m: { parameterName: string; parameterValue: string }) => {
    if (m.parameterName === "radishwalk.session") token = m.parameterValue;
  });
  await client.query("insert into t values (1)");
  const elsewhere = new FakeGroup();
  const other = await startServer(elsewhere);
  const moved = await other.connect({ options: `-c radishwalk.session=${token}` });
  const unknown = await other.connect({ options: "-c radishwalk.session=forged" });
  await moved.query("select 1");
  await unknown.query("select 1");
  await other.stop();
  const [known, floored] = elsewhere.requests;
  expect([known?.mark, known?.action.route]).toEqual([createMark(7), { type: "replica" }]);
  expect([floored?.mark, floored?.action.route]).toEqual([undefined, { type: "primary" }]);
});

test("a read that misses the session's mark breaks an invariant", async () => {
  const marks = [createMark(7), createMark(3)];
  const { connect } = await start(() => ({ mark: marks.shift() ?? createMark(9) }));
  const client = await connect();
  await client.query("insert into t values (1)");
  await expect(client.query("select 1")).rejects.toThrow("readYourWrites");
});

test.each([
  ["that is truncated", Buffer.from("D\0\0\0\x20")],
  ["of another request", Buffer.from("s\0\0\0\x04")],
])("an answer %s is never forwarded", async (_, raw) => {
  const { connect } = await start(() => ({ raw }));
  const client = await connect();
  await expect(client.query("select $1", [1])).rejects.toThrow("wholeOwnAnswer");
});

test("unknown teams and groups are refused at the start-up", async () => {
  const { connect } = await start();
  await expect(connect({ user: "nobody" })).rejects.toMatchObject({ code: "28000" });
  await expect(connect({ database: "h" })).rejects.toMatchObject({ code: "3D000" });
});

test("pipelined queries are answered in order", async () => {
  const { connect } = await start((text) => ({ rows: [text.slice(8, -1)] }));
  const client = await connect();
  const queries = Array.from({ length: 200 }, (_, i) => client.query(`select '${i}'`));
  const answers = (await Promise.all(queries)).map(({ rows }) => (rows as { v: string }[])[0]?.v);
  expect(answers).toEqual(queries.map((_, i) => String(i)));
});

test("a large answer is forwarded completely", async () => {
  const row = "x".repeat(10_000);
  const { connect } = await start(() => ({ rows: Array.from({ length: 1000 }, () => row) }));
  const client = await connect();
  const { rows } = await client.query("select v from t");
  expect((rows as { v: string }[]).every(({ v }) => v === row)).toBe(true);
  expect(rows).toHaveLength(1000);
});
