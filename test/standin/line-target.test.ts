import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "@jest/globals";
import { StandinLineTarget, StandinLog } from "../../standin/direct/index.js";

const workMs = 30;
const lingerMs = 200;
const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startTarget(options: { readonly queue?: number; readonly maxConnections?: number }) {
  const shared = { service: "ledger", slots: 1, workMs };
  const target = new StandinLineTarget("i-0", "primary", new StandinLog(), {
    ...shared,
    ...options,
  });
  await target.start();
  cleanups.push(() => target.dispose());
  return target;
}

/** Opens a connection; `ask` resolves to the next line that arrives. */
async function open(target: StandinLineTarget) {
  const { host, port } = target.address;
  const socket: Socket = connect(port, host);
  cleanups.push(() => socket.destroy());
  const ask = (line: string) =>
    new Promise<string>((resolve) => {
      socket.once("data", (chunk: Buffer) => resolve(chunk.toString().split("\r\n")[0] ?? ""));
      socket.write(`${line}\r\n`);
    });
  return { socket, ask, greeting: await ask("STARTUP ledger anyone") };
}

test("statements wait for a slot in the queue, and are refused when it is full", async () => {
  const target = await startTarget({ queue: 1 });
  const connections = await Promise.all([open(target), open(target), open(target)]);
  const answers = await Promise.all(
    connections.map(({ ask }, index) => ask(`QUERY ${index} READ item`)),
  );
  expect(answers.filter((line) => line.startsWith("DATAROW"))).toHaveLength(2);
  expect(answers.filter((line) => line === "ERROR BUSY no slot")).toHaveLength(1);
});

// After a loss of power a target counts connections for some time whose machines are gone.
test("a connection that lingers counts towards the limit until its time is over", async () => {
  const target = await startTarget({ maxConnections: 1 });
  const first = await open(target);
  target.linger(lingerMs, lingerMs);
  first.socket.destroy();
  await sleep(lingerMs / 4);
  expect((await open(target)).greeting).toBe("ERROR TOOMANYCON full");
  await sleep(2 * lingerMs);
  expect((await open(target)).greeting).toMatch(/^READY I/);
});

// Between the demotion of a primary and the next promotion an older one, which nobody demoted, is the only primary.
test("a superseded primary does not replace the commits of its successor", () => {
  const log = new StandinLog();
  const [first, second, third] = ["a", "b", "c"].map((id, index) =>
    log.add(id, index === 0 ? "primary" : "replica"),
  );
  if (first === undefined || second === undefined || third === undefined) throw new Error("no log");
  log.promote("b");
  log.commit(second, [{ id: "s1", item: "cello", data: "kept" }]);
  second.role = "replica";
  expect(log.findPrimary()).toBe(first);
  log.replicate();
  expect(third.log).toHaveLength(1);
  log.promote("c");
  expect(log.rolledBack.size).toBe(0);
});

// A crashed primary whose successor was promoted would otherwise come back as a primary that receives nothing.
test("a superseded primary becomes a replica that receives its successor's log", () => {
  const log = new StandinLog();
  const old = log.add("i-0", "primary");
  const successor = log.add("i-1", "replica");
  log.promote("i-1");
  log.commit(successor, [{ id: "w1", item: "a", data: "x" }]);
  log.demoteSuperseded(successor);
  log.demoteSuperseded(old);
  expect(successor.role).toBe("primary");
  expect(old).toMatchObject({ role: "replica", log: successor.log });
});
