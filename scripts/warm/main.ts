// Makes the code cache: starts the bundled node in this process, on a stand-in store and targets, lets a
// caller run each kind of statement, and writes down what was compiled meanwhile.
import { writeFileSync, mkdtempSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StandinLineTarget, StandinLog, StandinMetadata } from "../../standin/direct/index.js";
import { findFreePort } from "../../standin/processes/index.js";

interface Starter {
  readonly cachePath: string;
  load(): { createCachedData(): Buffer };
  run(script: unknown): void;
}

const service = "warm";
const host = "127.0.0.1";
/** Rounds of all kinds of statements: enough that what runs for each of them is compiled. */
const rounds = 20;
const stepMs = 20;
const longestStartMs = 20_000;

const statements = [
  "SET a b",
  "PREPARE r READ q1",
  "PREPARE w WRITE q2",
  "READ x",
  "WRITE x y",
  "EXECUTE r x",
  "EXECUTE w x y",
  "BEGIN",
  "READ x",
  "EXECUTE w x y",
  "COMMIT",
  "BEGIN READ",
  "READ x",
  "ROLLBACK",
  "DEALLOC r",
];

const folder = mkdtempSync(join(tmpdir(), "radishwalk-warm-"));
try {
  await warm();
} finally {
  rmSync(folder, { recursive: true });
}
process.exit(0);

async function warm(): Promise<void> {
  const { store, callers } = await prepare();
  const require = createRequire(import.meta.url);
  const starter = require("./radishwalk-node.cjs") as Starter;
  const script = starter.load();
  starter.run(script);
  for (const database of ["primary", "own", "stale"]) await work(callers, database);
  writeFileSync(starter.cachePath, script.createCachedData());
  await store.dispose();
}

/** The world that the node finds, and the settings that lead it there. */
async function prepare() {
  const store = new StandinMetadata();
  await store.start();
  const log = new StandinLog();
  for (const [id, role] of [
    ["i-0", "primary"],
    ["i-1", "replica"],
  ] as const) {
    const target = new StandinLineTarget(id, role, log, { service });
    await target.start();
    const { port } = target.address;
    store.set("servers", id, {
      service,
      address: `${host}:${port}`,
      zone: "a",
      version: "v1",
      capacity: 2,
      state: "ready",
      "cold-remaining-ms": 0,
      "db-role": role,
      sequence: 1,
    });
  }
  store.set("config", "main", makeConfiguration());
  const callers = await findFreePort();
  const fields = {
    "node-name": "vm-warm",
    zone: "a",
    "listen.frontend": `${host}:${callers}`,
    "listen.readiness": `${host}:${await findFreePort()}`,
    "listen.admin": `${host}:${await findFreePort()}`,
    "platform.address": `${host}:${store.address.port}`,
    "cloud-api.address": `${host}:${store.address.port}`,
  };
  const path = join(folder, "settings");
  const lines = Object.entries(fields).map(([name, value]) => `${name}=${value}\n`);
  writeFileSync(path, lines.join(""));
  process.env.RADISHWALK_SETTINGS = path;
  return { store, callers };
}

function makeConfiguration() {
  const common = { service, "timeout-ms": 800, "target-latency-ms": 200, priority: 1 };
  const routes = [
    { ...common, name: "r1", host: "primary", type: "primary" },
    { ...common, name: "r2", host: "own", type: "read_your_writes", "max-staleness-ms": 2500 },
    { ...common, name: "r3", host: "stale", type: "bounded_staleness", "max-staleness-ms": 1500 },
  ];
  return { version: 1, routes, services: [{ name: service, "max-conns": 16 }], limits: {} };
}

async function work(port: number, database: string): Promise<void> {
  const caller = await openCaller(port);
  await caller.ask(`STARTUP ${database} warm`);
  for (let round = 0; round < rounds; round += 1) {
    for (const [i, text] of statements.entries()) {
      await caller.ask(`QUERY ${database}-${round}-${i} ${text}`);
    }
  }
  caller.close();
}

/** Connects once the node listens. */
async function openCaller(port: number) {
  const until = Date.now() + longestStartMs;
  for (;;) {
    const socket = connect(port, host);
    const isOpen = await new Promise<boolean>((resolve) => {
      socket.once("connect", () => resolve(true));
      socket.once("error", () => resolve(false));
    });
    if (isOpen) return createCaller(socket);
    if (Date.now() > until) throw new Error("the node does not listen");
    await new Promise((resolve) => setTimeout(resolve, stepMs));
  }
}

function createCaller(socket: ReturnType<typeof connect>) {
  let text = "";
  let take: (() => void) | undefined;
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString("latin1");
    if (/^(READY|ERROR NODB).*\r\n$/m.test(text)) take?.();
  });
  return {
    ask: async (line: string) => {
      text = "";
      const answered = new Promise<void>((resolve) => (take = resolve));
      socket.write(`${line}\r\n`);
      await answered;
    },
    close: () => socket.destroy(),
  };
}
