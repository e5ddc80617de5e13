// What a connection of PgTargetConnector costs beside the pg client, on one stand-in target in the
// same run: statements a second one after the other, and rows a second of a large answer.
import pg from "pg";
import { serialize } from "pg-protocol";
import { cac } from "cac";
import { PgTargetConnector } from "../../src/target/index.js";
import { StandinTarget } from "../../standin/target/index.js";

const never = new AbortController().signal;
const small = "SELECT 1 AS one";
const large = "SELECT i, repeat('x', 100) AS x FROM generate_series(1, 50000) AS g(i)";
const largeRows = 50_000;

interface Figures {
  readonly statementsPerSecond: number;
  readonly rowsPerSecond: number;
}

type Ask = (text: string) => Promise<unknown>;

/** Alternates the two, so that both meet the same state of the machine. */
async function measurePair(a: Ask, b: Ask, text: string, rounds: number, count: number) {
  const total = { a: 0, b: 0 };
  for (let round = 0; round < rounds; round++) {
    total.a += await measureMs(a, text, count);
    total.b += await measureMs(b, text, count);
  }
  const perSecond = (ms: number) => (rounds * count * 1000) / ms;
  return { a: perSecond(total.a), b: perSecond(total.b) };
}

async function measureMs(ask: Ask, text: string, count: number): Promise<number> {
  const startAt = performance.now();
  for (let i = 0; i < count; i++) await ask(text);
  return performance.now() - startAt;
}

async function runBench(
  rounds: number,
): Promise<{ readonly session: Figures; readonly pg: Figures }> {
  const target = new StandinTarget({ name: "bench", connectMs: 0, serviceMs: 0 });
  await target.start();
  const session = await new PgTargetConnector().open(target.target, "bench", 1000);
  const client = new pg.Client({ ...target.address, user: "bench", database: "bench" });
  await client.connect();
  const viaSession: Ask = (text) => session.exchange(serialize.query(text), () => undefined, never);
  const viaClient: Ask = (text) => client.query(text);
  await measurePair(viaSession, viaClient, small, 1, 500);
  const statements = await measurePair(viaSession, viaClient, small, rounds, 1000);
  const answers = await measurePair(viaSession, viaClient, large, rounds, 2);
  session.close();
  await client.end();
  await target.dispose();
  const build = (side: "a" | "b"): Figures => ({
    statementsPerSecond: Math.round(statements[side]),
    rowsPerSecond: Math.round(answers[side] * largeRows),
  });
  return { session: build("a"), pg: build("b") };
}

const cli = cac("bench-exchange");
cli.option("--json", "Print JSON").option("--rounds <n>", "Alternations", { default: 5 });
const { options } = cli.parse();
const figures = await runBench(Number(options.rounds));
if (options.json === true) console.log(JSON.stringify(figures));
else console.table(figures);
