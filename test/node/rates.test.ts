import { afterEach, expect, test } from "@jest/globals";
import { Cluster, waitUntil, type Client, type TenantEntry } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

const bounds = { windowMs: 2000, overage: 0.1, slack: 10 };
const cello: TenantEntry = { name: "cello", "api-keys": ["key-c"], "rate-per-s": 10, burst: 10 };
const viola: TenantEntry = { name: "viola", "api-keys": ["key-v"] };
/** The highest number of cello's operations that may run in any window. */
const bound = (10 * 2 + 10) * 1.1 + 10;

async function start(nodes: number): Promise<void> {
  cluster = await Cluster.start({ nodes, gateways: true, rateBounds: bounds, slots: 8 });
  cluster.setRoutes({ tenants: [cello, viola] });
  for (const [i] of cluster.nodes.entries()) {
    await waitUntil(async () => {
      const client = await cluster.open("primary", i, "key-v");
      return (await client.query("READ ready")).includes("COMPLETE i-0.");
    });
  }
  // Nodes that have just registered issue no tokens before the others know of them.
  await new Promise((resolve) => setTimeout(resolve, 11_000));
}

/** Sends reads of one team without a pause for a time; returns the times of those that succeeded. */
async function flood(clients: readonly Client[], ms: number): Promise<readonly number[]> {
  const until = Date.now() + ms;
  const ran: number[] = [];
  await Promise.all(
    clients.map(async (client) => {
      while (Date.now() < until) {
        const answer = await client.query("READ cello");
        if (answer.includes("COMPLETE")) ran.push(Date.now());
        else await new Promise((resolve) => setTimeout(resolve, 5));
      }
    }),
  );
  return ran.sort((a, b) => a - b);
}

function countBusiestWindow(times: readonly number[]): number {
  const counts = times.map((from) => times.filter((t) => t >= from && t < from + bounds.windowMs));
  return Math.max(0, ...counts.map((window) => window.length));
}

// Callers of one team send as fast as they can to each of several nodes. Each node alone would admit the whole
// rate; together they must admit no more than that, and a team without a rate is not affected.
test("a team's rate holds over all nodes, and other teams are not affected", async () => {
  await start(6);
  const hot = await Promise.all([0, 1, 2, 3, 4, 5].map((i) => cluster.open("own", i, "key-c")));
  const calm = await cluster.open("own", 0, "key-v");
  const [ran] = await Promise.all([
    flood(hot, 3000),
    (async () => {
      for (let i = 0; i < 20; i += 1) expect(await calm.query("READ viola")).toContain("COMPLETE");
    })(),
  ]);
  expect(countBusiestWindow(ran)).toBeLessThanOrEqual(bound);
  expect(ran.length).toBeGreaterThanOrEqual(20);
  const refused = await hot[0]?.query("READ cello");
  expect(refused).toMatch(
    /COMPLETE|ERROR BUSY not run: the team is over its rate; try again in \d+ ms/,
  );
}, 60_000);

// A node ends without deregistering while a team sends as fast as it can. The node's tokens are lost. The other
// nodes continue with their shares, and in no window does the team get more than its rate.
test("the tokens of a lost node are lost with it, and the rate holds", async () => {
  await start(4);
  const hot = await Promise.all([1, 2, 3].map((i) => cluster.open("own", i, "key-c")));
  const flooding = flood(hot, 6000);
  await cluster.nodes[0]?.dispose();
  const ran = await flooding;
  expect(countBusiestWindow(ran)).toBeLessThanOrEqual(bound);
  await waitUntil(async () => (await hot[0]?.query("READ cello"))?.includes("COMPLETE") === true);
}, 60_000);

// All callers of a team are connected to one node, which issues a quarter of the tokens. Without transfers, the
// other nodes' tokens would expire unused and three of four operations be refused within the team's rate.
test("a team within its rate is served even if all its callers are connected to one node", async () => {
  await start(4);
  const client = await cluster.open("own", 0, "key-c");
  for (let i = 0; i < 15; i += 1) {
    expect(await client.query("READ cello")).toContain("COMPLETE");
    await new Promise((resolve) => setTimeout(resolve, 120));
  }
}, 60_000);

// Token requests that outlast a busy processor must not end in refusals while peers hold tokens.
test("a team within its rate is served while a busy processor delays every answer of a peer", async () => {
  await start(4);
  const client = await cluster.open("own", 0, "key-c");
  const endBusyTurns = keepProcessorBusy(70, 20);
  try {
    for (let i = 0; i < 45; i += 1) {
      expect(await client.query("READ cello")).toContain("COMPLETE");
      await new Promise((resolve) => setTimeout(resolve, 120));
    }
  } finally {
    endBusyTurns();
  }
}, 60_000);

/** Blocks this process, in which all nodes run, by turns; returns a function that ends that. */
function keepProcessorBusy(busyMs: number, idleMs: number): () => void {
  const timer = setInterval(() => {
    const until = performance.now() + busyMs;
    while (performance.now() < until);
  }, busyMs + idleMs);
  return () => clearInterval(timer);
}
