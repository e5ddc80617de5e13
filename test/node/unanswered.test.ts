import { afterEach, expect, test } from "@jest/globals";
import type { LeadershipTracker } from "../../src/leadership/index.js";
import { Cluster, waitUntil } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

const find = (vm: string) =>
  cluster.store.find("radishwalk-proxies", vm) as { readonly missed?: boolean } | undefined;

const listFields = (vm: string, name: string) =>
  cluster.lines.filter((l) => l.vm === vm && l.event.name === name).map(({ fields }) => fields);

/** The parts of a node that a partition affects. */
interface NodeParts {
  readonly tracker: LeadershipTracker;
  readonly peerServer: { dispose: () => void };
  readonly follower: { stop: () => void };
}

// A cut node refuses connections and runs: it read at the old primary while the new one acknowledged commits.
test("no node that refuses connections may use the old primary when a new one is ordered", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  await waitUntil(() => cluster.isListed());
  await (await cluster.open("primary")).query("WRITE cello taken");
  const { tracker, peerServer, follower } = cluster.nodes[2] as unknown as NodeParts;
  await waitUntil(() => tracker.isPermitted);
  peerServer.dispose();
  follower.stop();
  const permitted: boolean[] = [];
  const promote = cluster.store.onPromote;
  cluster.store.onPromote = (group, id) => {
    permitted.push(tracker.isPermitted);
    return promote(group, id);
  };
  cluster.announce(cluster.target(0), "draining");
  await waitUntil(() => permitted.length > 0);
  expect(permitted).not.toContain(true);
});

// Of three nodes two are killed with the primary: the third could be the one that is cut off, until they answer again.
test("a primary that was killed together with most nodes is replaced when they are back", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  await waitUntil(() => cluster.isListed());
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  await Promise.all([cluster.nodes[1]?.dispose(), cluster.nodes[2]?.dispose()]);
  await cluster.target(0).crash();
  await waitUntil(async () => {
    await client.query("READ cello");
    return listFields("vm-0", "primaryKept").length > 0;
  });
  expect(cluster.store.orders).toEqual([]);
  await Promise.all([cluster.restartNode(1), cluster.restartNode(2)]);
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
  expect(cluster.store.orders[0]?.id).not.toBe("i-0");
});

// A killed node refuses connections too; a change waits for the permit that it may have had, and then marks it.
test("a change that meets a killed node waits for its permit and marks it as missed", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  await waitUntil(() => cluster.isListed());
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  await cluster.nodes[2]?.dispose();
  cluster.announce(cluster.target(0), "draining");
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
  await waitUntil(() => find("vm-2")?.missed === true);
  expect(find("vm-1")?.missed).toBeUndefined();
});
