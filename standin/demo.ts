import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import pg from "pg";
import type { Address, Group, Vm } from "../src/model/index.js";
import { DisposableStore } from "../src/model/index.js";

/*
 * The whole path on the stand-ins, as separate processes: a platform, one group of three targets,
 * two proxies, the operators' `apply`, and an ordinary PostgreSQL client.
 */

const host = "127.0.0.1";
const groupName = "libro-alquiler-1";
const teamName = "ferrante";
const lagMs = 150;
const isStaying = process.argv.includes("--stay");

interface ProxyProcess {
  readonly vm: Vm;
  readonly callers: Address;
  readonly health: Address;
  readonly placements: Placement[];
}

interface Placement {
  readonly target: string;
  readonly reason: string;
  readonly vm: string;
}

const owned = new DisposableStore();
const folder = mkdtempSync(join(tmpdir(), "radishwalk-demo-"));
owned.defer(() => {
  rmSync(folder, { recursive: true });
});

function locate(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}

function startProgram(script: string, args: readonly string[]): ChildProcess {
  const child = spawn(process.execPath, [locate(script), ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  owned.defer(() => void child.kill("SIGTERM"));
  return child;
}

/** Starts a stand-in and reads the address that it prints once it listens. */
async function startStandin(script: string, args: readonly string[]): Promise<Address> {
  const child = startProgram(script, args);
  if (child.stdout === null) throw new Error(`${script} has no output`);
  for await (const line of createInterface({ input: child.stdout })) {
    return JSON.parse(line) as Address;
  }
  throw new Error(`${script} ended at once`);
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  if (typeof address !== "object" || address === null) throw new Error("no port is free");
  return address.port;
}

async function startGroup(): Promise<Group> {
  const limits = ["--slots", "2", "--connections", "16", "--lag-ms", String(lagMs)];
  const names = ["palermo", "barracas", "belgrano"];
  const targets: Group["targets"][number][] = [];
  for (const name of names) {
    const [first] = targets;
    const follow =
      first === undefined
        ? []
        : ["--follow", `${first.name}@${first.address.host}:${first.address.port}`];
    const args = ["--name", name, ...limits, ...follow];
    const address = await startStandin("./target/main.js", args);
    const { host: at, port } = address;
    targets.push({
      name,
      dataCentre: name,
      address: { host: at, port },
      slots: 2,
      connections: 16,
    });
  }
  return { name: groupName, targets };
}

async function putList(platform: Address, list: "vms" | "groups", value: unknown): Promise<void> {
  const response = await fetch(`http://${platform.host}:${platform.port}/${list}`, {
    method: "PUT",
    body: JSON.stringify(value),
  });
  if (!response.ok) throw new Error(`the platform refused the ${list}: ${response.status}`);
}

/** Runs `radishwalk apply`, as an operator does. */
async function applyRules(platform: Address, proxies: readonly ProxyProcess[]): Promise<void> {
  const rules = join(folder, "rules.yaml");
  writeFileSync(
    rules,
    `teams:
  - { name: ${teamName}, plan: paying }
  - { name: school, plan: trial }
rules:
  - name: reservations
    when: { kinds: [reservation] }
    then: { serve: { route: primary, class: critical, deadline: 10s, queue: 5s, retry: 5 } }
  - name: browsing
    when: { effect: read }
    then: { serve: { route: replica, class: browsing, deadline: 5s, queue: 2s, retry: 2 } }
`,
  );
  const places = proxies.flatMap(({ health }) => ["--proxy", `${health.host}:${health.port}`]);
  const url = `http://${platform.host}:${platform.port}`;
  const args = ["apply", rules, "--platform", url, "--base", "0", ...places];
  const child = startProgram("../src/bin/radishwalk.js", args);
  child.stdout?.pipe(process.stdout);
  const code = await new Promise((resolve) => child.once("exit", resolve));
  if (code !== 0) throw new Error("radishwalk apply failed");
}

async function planProxy(name: string): Promise<ProxyProcess> {
  const [callers, peer, health] = [
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
  ].map((port) => ({ host, port }));
  if (callers === undefined || peer === undefined || health === undefined) throw new Error("ports");
  return {
    vm: { name, dataCentre: "palermo", peer, state: "live" },
    callers,
    health,
    placements: [],
  };
}

function writeSettings(proxy: Awaited<ReturnType<typeof planProxy>>, platform: Address): string {
  const path = join(folder, `${proxy.vm.name}.yaml`);
  const format = ({ host: at, port }: Address) => `${at}:${port}`;
  writeFileSync(
    path,
    `vm: ${proxy.vm.name}
dataCentre: ${proxy.vm.dataCentre}
listen:
  callers: ${format(proxy.callers)}
  peers: ${format(proxy.vm.peer)}
  health: ${format(proxy.health)}
platform: [${format(platform)}]
tls: { callers: off, peers: off }
sessionKeys:
  - { id: demo, secret: not-a-secret-only-for-the-demo-0001 }
drain: { announce: 200ms, limit: 5s }
`,
  );
  return path;
}

/** Starts a proxy and collects its placement lines; resolves when it is ready. */
function startProxy(proxy: ProxyProcess, settings: string): Promise<void> {
  const child = startProgram("../src/bin/proxy.js", [settings]);
  return new Promise((resolve, reject) => {
    child.once("exit", (code) => reject(new Error(`${proxy.vm.name} ended with ${code ?? -1}`)));
    if (child.stdout === null) return;
    createInterface({ input: child.stdout }).on("line", (line) => {
      const entry = JSON.parse(line) as Placement & { readonly name: string };
      if (entry.name === "processReady") resolve();
      if (entry.name === "requestPlaced") proxy.placements.push(entry);
    });
  });
}

async function connect(proxy: ProxyProcess, token?: string): Promise<pg.Client> {
  const client = new pg.Client({
    host,
    port: proxy.callers.port,
    database: groupName,
    user: teamName,
    ...(token === undefined ? {} : { options: `-c radishwalk.session=${token}` }),
  });
  await client.connect();
  return client;
}

/** Watches for the session token, which the proxy sends as a parameter. */
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

async function runStep(
  proxies: readonly ProxyProcess[],
  title: string,
  step: () => Promise<pg.QueryResult>,
): Promise<void> {
  const before = proxies.map((p) => p.placements.length);
  const result = await step();
  const logDelayMs = 700;
  await sleep(logDelayMs);
  const placed = proxies.flatMap((p, i) => p.placements.slice(before[i]));
  const where = placed.map((p) => `${p.target}, placed by ${p.vm} (${p.reason})`).join("; ");
  console.log(`${title}\n  -> ${JSON.stringify(result.rows)} from ${where}`);
}

async function runSession(proxies: readonly [ProxyProcess, ProxyProcess]): Promise<void> {
  const [first, second] = proxies;
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
  await step("repeat the write under the same key (vm-2): the first answer, nothing runs", () =>
    there.query(
      "/* kind='reservation',idempotency_key='rossi-cello-1' */ INSERT INTO reservation VALUES ($1, $2, $3) RETURNING id",
      [1, "cello", "Rossi"],
    ),
  );
  await there.end();
}

async function runDemo(): Promise<void> {
  const platform = await startStandin("./platform/main.js", []);
  const group = await startGroup();
  const proxies = [await planProxy("vm-1"), await planProxy("vm-2")] as const;
  await putList(platform, "groups", [group]);
  await putList(
    platform,
    "vms",
    proxies.map((p) => p.vm),
  );
  const settings = proxies.map((p) => writeSettings(p, platform));
  await Promise.all(proxies.map((p, i) => startProxy(p, settings[i] ?? "")));
  await applyRules(platform, proxies);
  await runSession(proxies);
  if (!isStaying) return;
  const [first] = proxies;
  console.log(`\nstaying up: psql -h ${host} -p ${first.callers.port} -U ${teamName} ${groupName}`);
  console.log("Ctrl-C ends it");
  await new Promise((resolve) => process.once("SIGINT", resolve));
}

try {
  await runDemo();
} finally {
  await owned.dispose();
}
