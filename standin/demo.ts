import { setTimeout as sleep } from "node:timers/promises";
import pg from "pg";
import { startSystem, type RunningProxy } from "./processes/index.js";

/*
 * Runs the system with stand-ins as separate processes: a platform, a group of three targets, two
 * proxies, `radishwalk apply`, and an unmodified PostgreSQL client.
 */

const groupName = "libro-alquiler-1";
const teamName = "ferrante";
const isStaying = process.argv.includes("--stay");

const rules = `teams:
  - { name: ${teamName}, plan: paying }
  - { name: school, plan: trial }
rules:
  - name: reservations
    when: { kinds: [reservation] }
    then: { serve: { route: primary, class: critical, deadline: 10s, queue: 5s, retry: 5 } }
  - name: browsing
    when: { effect: read }
    then: { serve: { route: replica, class: browsing, deadline: 5s, queue: 2s, retry: 2 } }
`;

interface Placement {
  readonly target: string;
  readonly reason: string;
  readonly vm: string;
}

async function connect(proxy: RunningProxy, token?: string): Promise<pg.Client> {
  const client = new pg.Client({
    ...proxy.callers,
    database: groupName,
    user: teamName,
    ...(token === undefined ? {} : { options: `-c radishwalk.session=${token}` }),
  });
  await client.connect();
  return client;
}

/** Keeps the latest session token, which the proxy sends as a ParameterStatus message. */
function followToken(client: pg.Client): { token: string | undefined } {
  const holder: { token: string | undefined } = { token: undefined };
  const { connection } = client as unknown as {
    readonly connection: { on(name: string, listener: (message: Parameter) => void): void };
  };
  connection.on("parameterStatus", (message) => {
    if (message.parameterName === "radishwalk.session") holder.token = message.parameterValue;
  });
  return holder;
}

interface Parameter {
  readonly parameterName: string;
  readonly parameterValue: string;
}

function listPlacements({ child }: RunningProxy): readonly Placement[] {
  return child.lines.flatMap((line) =>
    line.name === "requestPlaced" ? [line as unknown as Placement] : [],
  );
}

async function runStep(
  proxies: readonly RunningProxy[],
  title: string,
  step: () => Promise<pg.QueryResult>,
): Promise<void> {
  const before = proxies.map((p) => listPlacements(p).length);
  const result = await step();
  const logDelayMs = 700;
  await sleep(logDelayMs);
  const placed = proxies.flatMap((p, i) => listPlacements(p).slice(before[i]));
  const placements = placed.map((p) => `${p.target}, placed by ${p.vm} (${p.reason})`).join("; ");
  console.log(`${title}\n  -> ${JSON.stringify(result.rows)} from ${placements}`);
}

async function runSession(proxies: readonly RunningProxy[]): Promise<void> {
  const [first, second] = proxies;
  if (first === undefined || second === undefined) throw new Error("the demo needs two proxies");
  const here = await connect(first);
  const session = followToken(here);
  const step = (title: string, run: () => Promise<pg.QueryResult>) => runStep(proxies, title, run);
  await step("create a table (vm-1)", () =>
    here.query("CREATE TABLE reservation (id int PRIMARY KEY, instrument text, family text)"),
  );
  await step("write a reservation (vm-1)", () =>
    here.query(
      "/* kind='reservation',idempotency_key='rossi-cello-1' */ INSERT INTO reservation VALUES ($1, $2, $3) RETURNING id",
      [1, "cello", "Rossi"],
    ),
  );
  await step("read it back at once (vm-1)", () => here.query("SELECT * FROM reservation"));
  await here.end();
  const there = await connect(second, session.token);
  await step("move to vm-2 with the session's token and read", () =>
    there.query("SELECT family FROM reservation WHERE id = 1"),
  );
  await step(
    "repeat the write with the same key (vm-2): returns the first answer, runs nothing",
    () =>
      there.query(
        "/* kind='reservation',idempotency_key='rossi-cello-1' */ INSERT INTO reservation VALUES ($1, $2, $3) RETURNING id",
        [1, "cello", "Rossi"],
      ),
  );
  await there.end();
}

async function runDemo(): Promise<void> {
  const system = await startSystem({
    group: groupName,
    targets: ["palermo", "barracas", "belgrano"],
    proxies: 2,
    rules,
    lagMs: 150,
  });
  try {
    await runSession(system.proxies);
    if (isStaying) await waitForSignal(system.proxies);
  } finally {
    await system.dispose();
  }
}

async function waitForSignal(proxies: readonly RunningProxy[]): Promise<void> {
  const [first] = proxies;
  if (first === undefined) return;
  const { host, port } = first.callers;
  const flags = proxies.map(({ health }) => `--proxy ${health.host}:${health.port}`).join(" ");
  console.log(`\nstill running: psql -h ${host} -p ${port} -U ${teamName} ${groupName}`);
  console.log(`operators: npx radishwalk status ${flags}`);
  console.log("press Ctrl-C to stop");
  await new Promise<void>((resolve) => {
    process.once("SIGINT", () => {
      resolve();
    });
    process.once("SIGTERM", () => {
      resolve();
    });
  });
}

await runDemo();
