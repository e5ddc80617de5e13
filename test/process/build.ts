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

const pollIntervalMs = 50;
const conditionTimeoutMs = 8000;

/** The outcome of writing one seat, as its caller saw it. */
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
  if (proxy === undefined) throw new Error(`no proxy with index ${index}`);
  return proxy;
}

/** Finds the owner, the proxy that logs the placements of the group's statements, and the others. */
export async function findOwner(
  system: RunningSystem,
): Promise<{ readonly owner: RunningProxy; readonly others: readonly RunningProxy[] }> {
  const isOwner = ({ child }: RunningProxy) => child.lines.some((l) => l.name === "requestPlaced");
  await waitFor(() => system.proxies.some(isOwner));
  const owner = system.proxies.find(isOwner);
  if (owner === undefined) throw new Error("no proxy owns the group");
  return { owner, others: system.proxies.filter((p) => p !== owner) };
}

/** Writes one seat, with an idempotency key when `isKeyed`. */
export async function writeSeat(client: pg.Client, id: number, isKeyed: boolean): Promise<Written> {
  const tag = isKeyed ? `/* kind='reservation',idempotency_key='seat-${id}' */ ` : "";
  return {
    id,
    outcome: await runStatement(client, `${tag}INSERT INTO seat VALUES (${id}, 'Ana')`),
  };
}

/** Counts the rows of each seat, once all running targets hold the same rows. */
export async function readSeats(system: RunningSystem): Promise<ReadonlyMap<number, number>> {
  const targets = system.targets.filter((t) => t.child.isRunning);
  let stored: readonly string[] = [];
  await waitFor(async () => {
    stored = await Promise.all(targets.map((t) => readTarget(t.target.address)));
    return new Set(stored).size === 1;
  });
  const counts = new Map<number, number>();
  for (const id of JSON.parse(stored[0] ?? "[]") as number[]) {
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

/** Lists the outcomes that contradict the stored rows; empty when every verdict was true. */
export function listFalseOutcomes(
  written: readonly Written[],
  stored: ReadonlyMap<number, number>,
): readonly string[] {
  return written.flatMap(({ id, outcome }) => {
    const count = stored.get(id) ?? 0;
    const isTrue =
      count <= 1 &&
      (outcome.type !== "answered" || count === 1) &&
      (outcome.type !== "notRun" || count === 0);
    return isTrue ? [] : [`seat ${id}: ${JSON.stringify(outcome)}, stored ${count} times`];
  });
}

/** Lists the log lines of the children about broken invariants. */
export function listViolations(children: readonly Child[]): readonly unknown[] {
  return children.flatMap((c) => c.lines.filter((l) => l.name === "invariantBroken"));
}

export async function waitFor(isMet: () => boolean | Promise<boolean>): Promise<void> {
  const endAt = Date.now() + conditionTimeoutMs;
  while (!(await isMet())) {
    if (Date.now() > endAt)
      throw new Error(`the condition was not met within ${conditionTimeoutMs} ms`);
    await sleep(pollIntervalMs);
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
