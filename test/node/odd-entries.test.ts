import { afterEach, expect, test } from "@jest/globals";
import { setTimeout as sleep } from "node:timers/promises";
import { Cluster, service, waitUntil } from "./cluster.js";

/** Deeper than what can be encoded as JSON without an overflow of the stack. */
const depth = 100_000;
const nested = "[".repeat(depth) + "]".repeat(depth);
/** All nodes have read what was written by then, in milliseconds. */
const readMs = 1500;
/** The listing of a node that doesn't follow the store counts as outdated by then, in milliseconds. */
const outdatedMs = 4000;
const targetDrainMs = 3000;
const routeFields = `"service":"${service}","type":"primary","target-latency-ms":200`;

let cluster: Cluster;

afterEach(() => cluster.dispose());

async function startCluster(): Promise<void> {
  cluster = await Cluster.start({ nodes: 2, targetDrainMs });
  await waitUntil(() => cluster.isListed());
  const client = await cluster.open("primary");
  await client.queryUntilServed("WRITE cello taken");
}

function setConfiguration(routes: string): void {
  const services = `[{"name":"${service}","max-conns":16}]`;
  const text = `{"version":50,"routes":[${routes}],"services":${services},"limits":{}}`;
  cluster.store.setRaw("config", "main", text);
}

/** An object that another writer left in the store. */
const oddObjects: readonly { readonly name: string; readonly write: () => void }[] = [
  {
    name: "a proxy whose power is deeply nested",
    write: () => {
      const address = '{"host":"127.0.0.1","port":9}';
      const text = `{"address":${address},"power":${nested},"link-mbps":${nested}}`;
      cluster.store.setRaw("radishwalk-proxies", "stray", text);
    },
  },
  {
    name: "proxies at ports that can't be",
    write: () => {
      for (const port of [0, -1, 65_536, 99_999, 1.5])
        cluster.store.set("radishwalk-proxies", `stray${port}`, { address: { host: "h", port } });
    },
  },
  {
    name: "a recorded target with a deeply nested field",
    write: () => {
      const target = `{"name":"x","address":{"host":"127.0.0.1","port":9},"extra":${nested}}`;
      cluster.store.setRaw("radishwalk-targets", "other", `{"targets":[${target},null]}`);
    },
  },
  {
    name: "a configuration with a deeply nested priority",
    write: () => {
      setConfiguration(
        `{"name":"r","host":"primary","timeout-ms":800,"priority":${nested},${routeFields}}`,
      );
    },
  },
  { name: "a configuration with a route that is null", write: () => setConfiguration("null") },
  {
    name: "targets with odd fields",
    write: () => {
      const fields = `"service":"${service}","zone":"a","version":"v","state":"ready"`;
      const rest = '"capacity":1e999,"cold-remaining-ms":0,"db-role":"primary","sequence":1';
      const entry = `{${fields},${rest},"address":"127.0.0.1:99999","meta":${nested}}`;
      cluster.store.setRaw("servers", "stray", entry);
      cluster.store.setRaw("servers", "i-9\r\nQUERY - RESET", "null");
    },
  },
];

// Nodes stopped following the store, or took their own listing for outdated, because of one object that they can't use.
test.each(oddObjects)("primaries are replaced and used beside $name", async ({ write }) => {
  await startCluster();
  write();
  await sleep(readMs);
  cluster.announce(cluster.target(0), "draining");
  await waitUntil(() => cluster.log.findPrimary()?.id !== "i-0");
  await sleep(outdatedMs);
  for (const node of [0, 1]) {
    const client = await cluster.open("primary", node);
    expect(await client.queryUntilServed("WRITE cello kept")).toMatch(/^COMPLETE/);
  }
  expect(cluster.lines.filter(({ event }) => event.name === "pollFailed")).toEqual([]);
});

// A process that starts beside such a configuration has none of its own, and was refused for as long as it stood.
test("a node that starts beside a configuration that can't be decoded uses the one of its peers", async () => {
  await startCluster();
  setConfiguration("null");
  await cluster.addNode("vm-2");
  const client = await cluster.open("primary", 2);
  expect(await client.queryUntilServed("WRITE cello kept")).toMatch(/^COMPLETE/);
});

// Node's timers fire at once when their time is above 2^31 - 1 ms, so that statements ended before their answers.
test("a timeout that no timer can measure doesn't end statements at once", async () => {
  cluster = await Cluster.start({ workMs: 30 });
  setConfiguration(
    ["timeout-ms", "max-staleness-ms"].reduce(
      (fields, name) => `${fields},"${name}":3000000000`,
      `{"name":"r","host":"primary",${routeFields}`,
    ) + "}",
  );
  await waitUntil(() => cluster.lines.some(({ fields }) => fields.revision === 50));
  const client = await cluster.open("primary");
  await client.queryUntilServed("WRITE cello taken");
  for (let count = 0; count < 10; count += 1)
    expect(await client.query(`WRITE cello ${count}`)).toMatch(/^COMPLETE/);
});
