import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { startFleet, type Fleet } from "../../standin/fleet.js";
import { runStatement, connectCaller, followToken } from "./caller.js";

let fleet: Fleet;

beforeEach(async () => {
  fleet = await startFleet({ groups: [{ name: "ledger", lagMs: 30 }] });
});

afterEach(async () => {
  await fleet.dispose();
  expect(fleet.violations).toEqual([]);
});

function getCallers(index: number) {
  const member = fleet.members[index];
  if (member === undefined) throw new Error(`no member with index ${index}`);
  return member.callers;
}

test("a session reads its own writes on every proxy that it reconnects to", async () => {
  let token: string | undefined;
  for (let round = 0; round < 6; round += 1) {
    const client = await connectCaller(getCallers(round % 3), token === undefined ? {} : { token });
    const session = followToken(client);
    if (round === 0)
      await runStatement(client, "CREATE TABLE seat (id int PRIMARY KEY, child text)");
    expect(await runStatement(client, `INSERT INTO seat VALUES (${round}, 'Ana')`)).toMatchObject({
      type: "answered",
    });
    const read = await runStatement(client, "SELECT count(*) AS seats FROM seat");
    expect(read).toMatchObject({ type: "answered" });
    expect(JSON.stringify(read)).toContain(`${round + 1}`);
    await client.end();
    token = session.token;
  }
});

// An unmodified driver reconnects through the load balancer without a session token while the replicas
// lag. The proxy can't know what this caller wrote on another connection, so the first read must
// reflect every write that was acknowledged before it.
test("a caller without a token sees every write acknowledged before it connected", async () => {
  const first = await connectCaller(getCallers(0));
  await runStatement(first, "CREATE TABLE seat (id int PRIMARY KEY, child text)");
  for (let id = 0; id < 5; id += 1) {
    await runStatement(first, `INSERT INTO seat VALUES (${id}, 'Ana')`);
    const other = await connectCaller(getCallers((id + 1) % 3));
    expect(await runStatement(other, `SELECT child FROM seat WHERE id = ${id}`)).toEqual({
      type: "answered",
      rows: [{ child: "Ana" }],
    });
    await other.end();
  }
  await first.end();
});

test("an interactive transaction through a proxy other than the owner commits completely", async () => {
  const clients = await Promise.all([0, 1, 2].map((i) => connectCaller(getCallers(i))));
  const [first] = clients;
  if (first === undefined) throw new Error("no client");
  await runStatement(first, "CREATE TABLE seat (id int PRIMARY KEY, child text)");
  for (const [i, client] of clients.entries()) {
    await client.query("BEGIN");
    await client.query("INSERT INTO seat VALUES ($1, $2)", [i, "Ion"]);
    await client.query(i === 1 ? "ROLLBACK" : "COMMIT");
  }
  const read = await runStatement(first, "SELECT id FROM seat ORDER BY id");
  expect(read).toMatchObject({ type: "answered", rows: [{ id: 0 }, { id: 2 }] });
  await Promise.all(clients.map((c) => c.end()));
});
