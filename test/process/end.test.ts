import { afterEach, expect, test } from "@jest/globals";
import type pg from "pg";
import type { RunningSystem } from "../../standin/processes/index.js";
import { runStatement, connectCaller } from "../path/caller.js";
import {
  findOwner,
  getProxy,
  listFalseOutcomes,
  listViolations,
  readSeats,
  startLedger,
  waitFor,
  writeSeat,
  type Written,
} from "./build.js";

let system: RunningSystem;

afterEach(async () => {
  await system.dispose();
  expect(listViolations(system.proxies.map((p) => p.child))).toEqual([]);
});

function listenForCode(client: pg.Client): Promise<string | undefined> {
  return new Promise((resolve) => {
    client.on("error", (error: Error & { readonly code?: string }) => {
      resolve(error.code);
    });
  });
}

// The owner gets SIGTERM while it has an open transaction, a running statement and an idle caller. It
// closes the idle caller's connection and refuses new ones; the statement gets its complete answer and
// the transaction can commit; then the process exits by itself.
test("a proxy that gets SIGTERM interrupts no statement or transaction", async () => {
  system = await startLedger();
  const { owner } = await findOwner(system);
  const [writer, slow, idle] = await Promise.all([1, 2, 3].map(() => connectCaller(owner.callers)));
  if (writer === undefined || slow === undefined || idle === undefined) throw new Error("callers");
  const code = listenForCode(idle);
  await writer.query("BEGIN");
  await writer.query("INSERT INTO seat VALUES (1, 'Ion')");
  const answer = runStatement(slow, "SELECT 7 AS seven, pg_sleep(1.5)");
  owner.child.send("SIGTERM");
  expect(await code).toBe("57P01");
  await expect(connectCaller(owner.callers)).rejects.toThrow();
  expect(await runStatement(writer, "INSERT INTO seat VALUES (2, 'Ion')")).toMatchObject({
    type: "answered",
  });
  expect(await runStatement(writer, "COMMIT")).toMatchObject({ type: "answered" });
  expect(await answer).toMatchObject({ type: "answered", rows: [{ seven: 7 }] });
  expect(await owner.child.ended).toEqual({ code: 0, signal: null });
  expect(owner.child.lines.some((l) => l.name === "drainCutOff")).toBe(false);
  expect([...(await readSeats(system)).keys()]).toEqual([1, 2]);
});

// The reader of a proxy's log dies and its end of the pipe closes; then the proxy gets SIGTERM. The last
// lines can't be written, and retrying them forever would keep the VM from being replaced. They are
// dropped instead, and the process exits as usual.
test("a proxy whose log has lost its reader still exits on SIGTERM", async () => {
  system = await startLedger({ proxies: 2 });
  const { child } = getProxy(system, 1);
  child.process.stdout?.destroy();
  child.send("SIGTERM");
  expect(await child.ended).toEqual({ code: 0, signal: null });
});

// The primary is killed while two callers write through different proxies without a pause. Writes wait
// for the promotion; one that was in flight is sent again with its key. Both callers finish, and the
// remaining targets store each acknowledged seat once.
test("a killed primary loses no acknowledged write, and writes continue", async () => {
  system = await startLedger({ lagMs: 50 });
  const clients = await Promise.all([0, 1].map((i) => connectCaller(getProxy(system, i).callers)));
  const written: Written[] = [];
  const count = (from: number) => written.filter(({ id }) => id >= from).length;
  const writing = clients.map(async (client, i) => {
    for (let id = i; id < 120; id += 2) written.push(await writeSeat(client, id, true));
  });
  await waitFor(() => count(0) > 20);
  system.targets[0]?.child.send("SIGKILL");
  await Promise.all(writing);
  expect(written.filter(({ outcome }) => outcome.type !== "answered")).toEqual([]);
  expect(listFalseOutcomes(written, await readSeats(system))).toEqual([]);
  await Promise.all(clients.map((c) => c.end()));
});
