import pg from "pg";
import type { Address } from "../../src/model/index.js";
import { summarise } from "../failover/statistics.js";

/** A sort of statement, and whether a replica serves it. */
export interface Work {
  readonly name: string;
  readonly isRead: boolean;
  /** The statement; `n` differs each time. */
  readonly compose: (n: number) => string;
}

/** One side of a comparison. */
export interface Side {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perSecond: number;
}

/** The proxy beside the direct way. */
export interface Comparison {
  readonly work: string;
  readonly connections: number;
  readonly direct: Side;
  readonly proxied: Side;
  readonly ratio: Side;
}

/** Where the two ways begin. */
export interface Ways {
  readonly primary: Address;
  readonly replica: Address;
  readonly proxy: Address;
}

interface Run {
  readonly times: number[];
  elapsedMs: number;
}

const turns = 4;
const warmUpMs = 200;
const insert = "INSERT INTO seat VALUES";

/** What is measured; kinds are matched by the rules of `main.ts`. */
export const works: readonly Work[] = [
  { name: "read", isRead: true, compose: () => "SELECT child FROM family WHERE id = 1" },
  ...["witnessed", "replicated"].flatMap((mode): readonly Work[] => [
    {
      name: `write, ${mode}`,
      isRead: false,
      compose: (n) => `/* kind='${mode}' */ ${insert} (${n}, 'Ana')`,
    },
    {
      name: `keyed write, ${mode}`,
      isRead: false,
      compose: (n) => `/* kind='${mode}',idempotency_key='k${n}' */ ${insert} (${n}, 'Ana')`,
    },
  ]),
];

let counter = 0;

/** Measures both ways in turns, so that both meet the same state of the machine. */
export async function compareWays(
  ways: Ways,
  work: Work,
  connections: number,
  turnMs: number,
): Promise<Comparison> {
  const direct = await connectAll(work.isRead ? ways.replica : ways.primary, connections);
  const proxied = await connectAll(ways.proxy, connections);
  const runs = { direct: createRun(), proxied: createRun() };
  await runTurn(direct, work, warmUpMs, createRun());
  await runTurn(proxied, work, warmUpMs, createRun());
  for (let turn = 0; turn < turns; turn += 1) {
    await runTurn(direct, work, turnMs, runs.direct);
    await runTurn(proxied, work, turnMs, runs.proxied);
  }
  await Promise.all([...direct, ...proxied].map((client) => client.end()));
  const sides = { direct: toSide(runs.direct), proxied: toSide(runs.proxied) };
  return { work: work.name, connections, ...sides, ratio: divide(sides.proxied, sides.direct) };
}

/** Opens a caller's connection, to a proxy or straight to a target. */
export async function connectCaller({ host, port }: Address): Promise<pg.Client> {
  const client = new pg.Client({ host, port, user: "bench", database: "bench" });
  await client.connect();
  return client;
}

function connectAll(address: Address, count: number): Promise<readonly pg.Client[]> {
  return Promise.all(Array.from({ length: count }, () => connectCaller(address)));
}

async function runTurn(
  clients: readonly pg.Client[],
  work: Work,
  ms: number,
  run: Run,
): Promise<void> {
  const startAt = performance.now();
  const endAt = startAt + ms;
  await Promise.all(clients.map((client) => runClient(client, work, endAt, run.times)));
  run.elapsedMs += performance.now() - startAt;
}

async function runClient(
  client: pg.Client,
  work: Work,
  endAt: number,
  times: number[],
): Promise<void> {
  for (let now = performance.now(); now < endAt; now = performance.now()) {
    counter += 1;
    await client.query(work.compose(counter));
    times.push(performance.now() - now);
  }
}

function createRun(): Run {
  return { times: [], elapsedMs: 0 };
}

function toSide({ times, elapsedMs }: Run): Side {
  const { medianMs, p99Ms, count } = summarise(times);
  return { p50Ms: medianMs, p99Ms, perSecond: Math.round((count * 1000) / elapsedMs) };
}

function divide(a: Side, b: Side): Side {
  const ratio = (x: number, y: number): number => Math.round((x * 100) / y) / 100;
  return {
    p50Ms: ratio(a.p50Ms, b.p50Ms),
    p99Ms: ratio(a.p99Ms, b.p99Ms),
    perSecond: ratio(a.perSecond, b.perSecond),
  };
}
