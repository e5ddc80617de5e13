import pg from "pg";
import {
  startSystem,
  type Child,
  type RunningProxy,
  type RunningSystem,
  type SystemOptions,
} from "../../standin/processes/index.js";
import { runStatement, connectCaller, type StatementOutcome } from "../path/caller.js";

const rules = `teams:
  - { name: ferrante, plan: paying }
rules:
  - name: reservations
    when: { effect: write }
    then: { serve: { route: primary, class: critical, deadline: 8s, queue: 8s, retry: 10 } }
`;

const stepMs = 50;
const agreeMs = 8000;

/** What a caller heard of the write of one seat. */
export interface Written {
  readonly id: number;
  readonly outcome: StatementOutcome;
}

/** Starts three targets and proxies that serve the group `ledger`, and creates the table `seat`. */
export async function startLedger(options: Partial<SystemOptions> = {}): Promise<RunningSystem> {
  const targets = ["palermo", "barracas", "belgrano"];
  const system = await startSystem({ group: "ledger", targets, proxies: 3, rules, ...options });
  const client = await connectCaller(getProxy(system, 0).callers);
  await client.query("CREATE TABLE seat (id int, child text)");
  await client.end();
  return system;
}

export function getProxy(system: RunningSystem, index: number): RunningProxy {
  const proxy = system.proxies[index];
  if (proxy === undefined) throw new Error(`no proxy ${index}`);
  return proxy;
}

/** The proxy that runs the group's statements, by the placements in its log, and the others. */
export async function findOwner(
  system: RunningSystem,
): Promise<{ readonly owner: RunningProxy; readonly others: readonly RunningProxy[] }> {
  const isOwner = ({ child }: RunningProxy) => child.lines.some((l) => l.name === "requestPlaced");
  await waitFor(() => system.proxies.some(isOwner));
  const owner = system.proxies.find(isOwner);
  if (owner === undefined) throw new Error("no proxy owns the group");
  return { owner, others: system.proxies.filter((p) => p !== owner) };
}

/** Writes one seat; with a key, where `isKeyed`. */
export async function writeSeat(client: pg.Client, id: number, isKeyed: boolean): Promise<Written> {
  const tag = isKeyed ? `/* kind='reservation',idempotency_key='seat-${id}' */ ` : "";
  return {
    id,
    outcome: await runStatement(client, `${tag}INSERT INTO seat VALUES (${id}, 'Ana')`),
  };
}

/** How often the running targets hold each seat, once they all hold the same. */
export async function readSeats(system: RunningSystem): Promise<ReadonlyMap<number, number>> {
  const targets = system.targets.filter((t) => t.child.isRunning);
  let held: readonly string[] = [];
  await waitFor(async () => {
    held = await Promise.all(targets.map((t) => readTarget(t.target.address)));
    return new Set(held).size === 1;
  });
  const counts = new Map<number, number>();
  for (const id of JSON.parse(held[0] ?? "[]") as number[]) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

async function readTarget(address: { host: string; port: number }): Promise<string> {
  const client = new pg.Client({ ...address, user: "test", database: "ledger" });
  await client.connect();
  const { rows } = await client.query<{ id: number }>("SELECT id FROM seat ORDER BY id");
  await client.end();
  return JSON.stringify(rows.map((r) => r.id));
}

/** What callers heard that the targets don't bear out; empty when every verdict was true. */
export function listFalseOutcomes(
  written: readonly Written[],
  held: ReadonlyMap<number, number>,
): readonly string[] {
  return written.flatMap(({ id, outcome: told }) => {
    const count = held.get(id) ?? 0;
    const isTrue =
      count <= 1 &&
      (told.type !== "answered" || count === 1) &&
      (told.type !== "notRun" || count === 0);
    return isTrue ? [] : [`seat ${id}: ${JSON.stringify(told)}, held ${count} times`];
  });
}

/** The broken invariants that the children logged. */
export function listViolations(children: readonly Child[]): readonly unknown[] {
  return children.flatMap((c) => c.lines.filter((l) => l.name === "invariantBroken"));
}

export async function waitFor(holds: () => boolean | Promise<boolean>): Promise<void> {
  const endAt = Date.now() + agreeMs;
  while (!(await holds())) {
    if (Date.now() > endAt) throw new Error("what was waited for did not come about");
    await sleep(stepMs);
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
