import { cac } from "cac";
import { startSystem, type RunningSystem } from "../../standin/processes/index.js";
import { measureIdle, type IdleCost } from "./idle.js";
import { compareWays, connectCaller, works, type Comparison, type Ways } from "./statements.js";
import { formatComparisons, formatIdle } from "./table.js";

interface Flags {
  readonly json: boolean;
  readonly idle: boolean;
  readonly turnMs: number;
  readonly idleMs: number;
  readonly only?: string;
  readonly profile?: string;
}

const connectionCounts = [1, 8, 32];
const idleCounts = [0, 100, 1000, 4000];

const rules = `teams:
  - { name: bench, plan: paying }
rules:
  - name: witnessed
    when: { kinds: [witnessed] }
    then: { serve: { route: primary, class: critical, deadline: 10s, queue: 5s, retry: 1, acknowledge: witnessed } }
  - name: replicated
    when: { kinds: [replicated] }
    then: { serve: { route: primary, class: critical, deadline: 10s, queue: 5s, retry: 1 } }
  - name: reads
    when: { effect: read }
    then: { serve: { route: replica, class: normal, deadline: 10s, queue: 5s } }
`;

const cli = cac("bench-path");
cli
  .command("", "Measure one proxy beside the direct way")
  .option("--json", "Print JSON alone", { default: false })
  .option("--no-idle", "Leave out the idle proxy")
  .option("--turn-ms <n>", "Length of one turn of statements", { default: 500 })
  .option("--idle-ms <n>", "Length of one look at an idle proxy", { default: 10_000 })
  .option("--only <work>", "Only work whose name has this in it")
  .option("--profile <folder>", "Have the proxy write a processor profile")
  .action(runBench);
cli.help();
cli.parse();

async function runBench(flags: Flags): Promise<void> {
  const system = await startBenchSystem(flags);
  try {
    const idle = flags.idle ? await measureProxy(system, flags.idleMs) : [];
    const statements = await measureStatements(system, flags);
    if (!flags.json) console.log(`${formatComparisons(statements)}\n\n${formatIdle(idle)}`);
    console.log(JSON.stringify({ statements, idle }));
  } finally {
    await system.dispose();
  }
}

function startBenchSystem({ profile }: Flags): Promise<RunningSystem> {
  const proxyFlags = profile === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${profile}`];
  return startSystem({
    group: "bench",
    targets: ["palermo", "barracas", "belgrano"],
    proxies: 1,
    rules,
    slots: 64,
    connections: 160,
    settings: "limits: { connectionsPerTeam: 5000 }",
    proxyFlags,
  });
}

async function measureStatements(
  system: RunningSystem,
  { turnMs, only = "" }: Flags,
): Promise<readonly Comparison[]> {
  const ways = findWays(system);
  await createTables(ways);
  const comparisons: Comparison[] = [];
  for (const work of works.filter(({ name }) => name.includes(only))) {
    for (const count of connectionCounts) {
      comparisons.push(await compareWays(ways, work, count, turnMs));
    }
  }
  return comparisons;
}

function findWays({ targets, proxies }: RunningSystem): Ways {
  const [primary, replica] = targets;
  const [proxy] = proxies;
  if (primary === undefined || replica === undefined || proxy === undefined) {
    throw new Error("the system lacks a process");
  }
  return {
    primary: primary.target.address,
    replica: replica.target.address,
    proxy: proxy.callers,
  };
}

async function createTables({ proxy }: Ways): Promise<void> {
  const client = await connectCaller(proxy);
  await client.query("CREATE TABLE seat (id int, child text)");
  await client.query("CREATE TABLE family (id int PRIMARY KEY, child text)");
  await client.query("INSERT INTO family VALUES (1, 'Ana')");
  await client.end();
}

async function measureProxy(
  { proxies }: RunningSystem,
  idleMs: number,
): Promise<readonly IdleCost[]> {
  const [proxy] = proxies;
  return proxy === undefined ? [] : measureIdle(proxy, idleCounts, idleMs);
}
