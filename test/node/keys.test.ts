import { afterEach, expect, test } from "@jest/globals";
import { Cluster, findAddress, waitUntil, type TenantEntry } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

const cello: TenantEntry = { name: "cello", "api-keys": ["key-c1", "key-c2"] };
const viola: TenantEntry = { name: "viola", "api-keys": ["key-v1"] };

async function start(nodes = 1): Promise<void> {
  cluster = await Cluster.start({ nodes, workMs: 2 });
  cluster.setRoutes({ tenants: [cello, viola], open: ["stale"] });
  await waitUntil(async () => {
    const client = await cluster.open("primary", 0, "key-c1");
    return (await client.query("READ ready")).includes("COMPLETE i-0.");
  });
}

/** The teams whose connections a statement ran on, one entry for each run. */
const listTeams = (text: string) =>
  cluster.targets.flatMap((t) => t.runs.filter((run) => run.text === text).map((run) => run.team));

/** Waits until every node has applied a revision of the configuration. */
const waitForRevision = (revision: number) =>
  waitUntil(() =>
    cluster.settings.every(({ vm }) =>
      cluster.lines.some(
        (line) =>
          line.vm === vm &&
          line.event.name === "routesInForce" &&
          line.fields.revision === revision,
      ),
    ),
  );

// Callers of two teams send at the same time and share the targets' connections. A connection is opened in the
// name of one team; a statement of another team on it would run under the wrong name.
test("each statement runs on a connection that was opened for its caller's team", async () => {
  await start();
  const clients = await Promise.all(
    ["key-c1", "key-c2", "key-v1", "key-v1"].map((key) => cluster.open("own", 0, key)),
  );
  for (let round = 0; round < 5; round += 1) {
    await Promise.all(
      clients.map((client, i) => client.query(i < 2 ? "WRITE bow cello" : "WRITE bow viola")),
    );
  }
  expect(new Set(listTeams("WRITE bow cello"))).toEqual(new Set(["cello"]));
  expect(new Set(listTeams("WRITE bow viola"))).toEqual(new Set(["viola"]));
  expect(listTeams("WRITE bow cello")).toHaveLength(10);
});

test("an unknown key opens a session only for a public database", async () => {
  await start();
  const denied = await cluster.connect();
  denied.send("STARTUP primary nobody's\r\n");
  expect(await denied.read()).toBe("ERROR DENIED no team holds this key");
  await waitUntil(() => denied.isClosed);
  const welcome = await cluster.open("stale", 0, "nobody's");
  expect(await welcome.query("READ bow")).toMatch(/^DATAROW/);
  expect(listTeams("READ bow")).toEqual(["radishwalk"]);
});

// The log is read by many people and sent to other systems. A key in it could be used by any reader.
test("no log line contains a key", async () => {
  await start();
  const denied = await cluster.connect();
  denied.send("STARTUP primary a-secret\r\n");
  await denied.read();
  const session = await cluster.open("primary", 0, "key-c1");
  await session.query("WRITE bow taken");
  const unknown = await cluster.connect();
  unknown.send("STARTUP nowhere key-c1\r\n");
  await unknown.read();
  const text = JSON.stringify(cluster.lines);
  expect(text).toContain("callerKeyUnknown");
  expect(text).not.toMatch(/a-secret|key-c1/);
});

// A key is revoked while one of its sessions is idle and another has a transaction open. The idle one is
// closed; nothing of the transaction may be committed, and no further statement of it may run.
test("revoking a key ends its sessions and rolls back their transactions", async () => {
  await start();
  const resting = await cluster.open("primary", 0, "key-c1");
  const inside = await cluster.open("primary", 0, "key-c1");
  const other = await cluster.open("primary", 0, "key-c2");
  await inside.query("BEGIN");
  await inside.query("WRITE bow lost");
  cluster.setRoutes({ tenants: [{ ...cello, "api-keys": ["key-c2"] }, viola] });
  await waitUntil(() => resting.isClosed);
  expect(await inside.query("WRITE bow late")).toContain("READY E");
  expect(await inside.query("COMMIT")).toMatch(/^ERROR ABORTED .*\nREADY I$/);
  await waitUntil(() => inside.isClosed);
  expect(listTeams("WRITE bow late")).toEqual([]);
  expect(await other.query("READ bow")).toContain("DATAROW none");
});

// A key is assigned to another team while its caller has a transaction open. The next operation belongs to the
// new team; the open transaction uses a connection of the old team and is rolled back.
test("a reassigned key runs under the new team's name from the next operation on", async () => {
  await start();
  const client = await cluster.open("primary", 0, "key-c1");
  await client.query("BEGIN");
  await client.query("WRITE bow of-cello");
  const moved = { ...viola, "api-keys": ["key-v1", "key-c1"] };
  cluster.setRoutes({ tenants: [{ ...cello, "api-keys": ["key-c2"] }, moved] });
  await waitForRevision(3);
  expect(await client.query("COMMIT")).toMatch(/^ERROR ABORTED/);
  expect(await client.query("WRITE bow of-viola")).toContain("COMPLETE");
  expect(listTeams("WRITE bow of-viola")).toEqual(["viola"]);
  expect(await client.query("READ bow")).toContain("DATAROW of-viola");
});

// A node that has just started knows no configuration. A caller with a valid key would give up for good if it
// were told that the key is unknown.
test("before a configuration is known, a caller is told to retry and not that its key is unknown", async () => {
  cluster = await Cluster.start({ nodes: 0 });
  cluster.store.remove("config", "main");
  await cluster.addNode("vm-0");
  const client = await cluster.connect();
  client.send("STARTUP primary key-c1\r\n");
  expect(await client.read()).toMatch(/^ERROR BUSY not run: .*try again in \d+ ms$/);
});

// The store does not answer one node while it serves the others, and a key is revoked. The node learns of it
// from its peers; otherwise the key's callers would be served until the store answers the node again.
test("a node that can't reach the store learns of a revoked key from its peers", async () => {
  await start(3);
  await waitUntil(() => cluster.isListed());
  const index = 0;
  const session = await cluster.open("primary", index, "key-c1");
  await session.query("WRITE bow taken");
  const settings = cluster.settings[index];
  if (settings === undefined) throw new Error(`no node ${index}`);
  cluster.nodes[index]?.setSettings({ ...settings, store: await findAddress() });
  cluster.setRoutes({ tenants: [{ ...cello, "api-keys": ["key-c2"] }, viola] });
  await waitUntil(() => session.isClosed);
  const denied = await cluster.connect(index);
  denied.send("STARTUP primary key-c1\r\n");
  expect(await denied.read()).toBe("ERROR DENIED no team holds this key");
});
