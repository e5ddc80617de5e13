import { afterEach, expect, test } from "@jest/globals";
import { Cluster, waitUntil } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

const leadership = () =>
  cluster.store.find("radishwalk-leadership", "current") as
    | {
        readonly holder: unknown;
        readonly groups: Readonly<
          Record<string, { readonly type: string; readonly target: string }>
        >;
      }
    | undefined;

const find = (vm: string) =>
  cluster.store.find("radishwalk-proxies", vm) as { readonly missed?: boolean } | undefined;

const isSettled = () => leadership()?.groups.ledger?.type === "serving";

const readAll = (text: string) =>
  Promise.all(cluster.nodes.map(async (_, i) => (await cluster.open("primary", i)).query(text)));

// The primary crashes and its entry goes. One of the proxies takes the duty, tells the others, and has
// the replica with the longest log promoted; callers write again, and what was written is there.
test("a crashed primary is replaced, once, and callers go on", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  await cluster.target(0).crash();
  cluster.store.remove("servers", "i-0");
  await waitUntil(isSettled);
  expect(cluster.store.orders.length).toBe(1);
  const [order] = cluster.store.orders;
  expect(order?.token).toBeGreaterThan(0);
  await waitUntil(async () => (await client.query("WRITE viola taken")).startsWith("COMPLETE"));
  await waitUntil(async () => {
    const answers = await readAll("READ cello");
    return answers.every((answer) => answer.startsWith("DATAROW taken"));
  });
  expect(leadership()?.holder).toBeNull();
});

// The platform announces that the primary leaves. It is demoted first and its last commits reach a
// replica, which then leads: nothing that was acknowledged is lost.
test("a leaving primary hands over without losing a commit", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  cluster.log.isCopying = false;
  await client.query("WRITE viola taken");
  cluster.announce(cluster.target(0), "draining");
  await waitUntil(() => cluster.target(0).member.role === "replica");
  // What the demoted primary holds arrives at the replicas a little later.
  for (const target of cluster.targets) target.member.log = cluster.target(0).member.log;
  cluster.log.isCopying = true;
  await waitUntil(isSettled);
  await waitUntil(async () => (await client.query("READ viola")).startsWith("DATAROW taken"));
  expect(cluster.log.findPrimary()?.log).toHaveLength(2);
});

// The store loses the answer to the write that takes the duty. It may have taken effect: read back, it
// has, and the change goes on under one holder with growing tokens.
test("a lost answer of the store does not stop a change, nor make two holders", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  await (await cluster.open("primary")).query("WRITE cello taken");
  cluster.store.loseAnswers = 1;
  await cluster.target(0).crash();
  cluster.store.remove("servers", "i-0");
  await waitUntil(isSettled);
  expect(leadership()?.groups.ledger).toMatchObject({ round: 1 });
  const tokens = cluster.store.orders.map((order) => order.token);
  expect(tokens).toEqual([...tokens].sort((a, b) => a - b));
  expect(new Set(cluster.store.orders.map((order) => order.holder)).size).toBe(1);
});

// The platform promotes a target and its answer is lost. The same order is given again, which changes
// nothing, and the group is led by that target.
test("a lost answer to the order to promote is followed by the same order", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  await (await cluster.open("primary")).query("WRITE cello taken");
  await cluster.target(0).crash();
  const promote = cluster.store.onPromote;
  cluster.store.onPromote = (service, id) => {
    const isDone = promote(service, id);
    if (cluster.store.orders.length === 1) cluster.store.loseAnswers = 1;
    return isDone;
  };
  cluster.store.remove("servers", "i-0");
  await waitUntil(isSettled);
  expect(new Set(cluster.store.orders.map((order) => order.id)).size).toBe(1);
  expect(cluster.log.findPrimary()?.id).toBe(cluster.store.orders[0]?.id);
});

// The holder of the duty dies half-way: its document says that the group's primary is being changed,
// and stays as it is. Another proxy takes over after its time, with a greater token.
test("a change whose holder died is taken over", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  cluster.store.set("radishwalk-leadership", "current", {
    holder: { vm: "vm-gone", incarnation: "vm-gone-1" },
    groups: { ledger: { type: "changing", round: 3, from: "i-0" } },
    renewals: 0,
  });
  await waitUntil(isSettled);
  expect(leadership()?.groups.ledger).toMatchObject({ round: 4 });
  const client = await cluster.open("primary");
  await waitUntil(async () => (await client.query("WRITE cello taken")).startsWith("COMPLETE"));
});

// The store is away for everybody. No change of primary can begin, and the proxies confirm to each
// other that they know of none: callers go on writing and reading at the primary.
test("the store's outage does not stop primaries from being used", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  await waitUntil(() => cluster.isListed());
  cluster.store.isBusy = true;
  const startedAt = Date.now();
  while (Date.now() - startedAt < 3500) {
    expect(await client.query("READ cello")).toMatch(/^DATAROW taken/);
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
});

// A proxy starts together with another, and the store goes away before it has seen the other's entry.
// Counting itself alone it would be a majority; it must stop using the primary all the same.
test("a proxy that has not seen the others yet does not confirm itself", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  const client = await cluster.open("primary", 1);
  await cluster.nodes[0]?.dispose();
  cluster.store.isBusy = true;
  await waitUntil(async () => (await client.query("READ cello")).startsWith("ERROR BUSY"));
});

// A proxy is cut off from the store and from the other proxies, but still reaches the primary. It
// could go on reading there after a change that it does not hear of; so it stops by itself.
test("a proxy that nobody confirms stops using the primary", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  const client = await cluster.open("primary", 1);
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  await waitUntil(() => cluster.isListed());
  await cluster.nodes[0]?.dispose();
  cluster.store.isBusy = true;
  await waitUntil(async () => (await client.query("READ cello")).startsWith("ERROR BUSY"));
  cluster.store.isBusy = false;
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
});

// The primary stops answering while it is still listed, as in a cut: statements run into their time.
// No proxy reaches it, so that it is replaced without waiting for its entry to lapse.
test("a silent primary is replaced", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  cluster.target(0).faults.isSilent = true;
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
  expect(cluster.store.orders[0]?.id).not.toBe("i-0");
});

// The primary goes dark while a write waits for its answer, which may take 20 s on this route. Nobody
// else has a connection to it, so that no second failure shows it; it is replaced all the same, long
// before the write is given up.
test("a dark primary is replaced while a statement still waits for it", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  cluster.setRoutes({ timeoutMs: 20_000 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  cluster.target(0).faults.isSilent = true;
  let isAnswered = false;
  const write = client.query("WRITE viola taken").then((answer) => {
    isAnswered = true;
    return answer;
  });
  await waitUntil(isSettled);
  expect(isAnswered).toBe(false);
  client.close();
  await write;
});

// A configuration of an older version comes from a store that answers out of date, and later the newer
// one again. The older is never in force.
test("an older configuration never comes back", async () => {
  cluster = await Cluster.start({ nodes: 1 });
  const client = await cluster.open("stale");
  const old = cluster.store.find("config", "main");
  cluster.setRoutes({ without: "stale" });
  await waitUntil(async () => (await client.query("READ x")).startsWith("ERROR NODB"));
  cluster.store.set("config", "main", old);
  await new Promise((resolve) => setTimeout(resolve, 1600));
  expect(await client.query("READ x")).toMatch(/^ERROR NODB/);
});

// The configuration that the store holds can't be read. The last good one stays in force, and the log
// says so.
test("a configuration that does not parse changes nothing", async () => {
  cluster = await Cluster.start({ nodes: 1 });
  const client = await cluster.open("primary");
  cluster.store.set("config", "main", { version: 99, routes: "none" });
  await waitUntil(() => cluster.lines.some((line) => line.event.name === "configurationUnread"));
  expect(await client.query("READ x")).toMatch(/^DATAROW/);
});

// A node is asked to end while a caller's write is at the target and another caller is in the middle
// of a transaction. Both get their whole answers; the connections close between operations.
test("a drain cuts off no request", async () => {
  cluster = await Cluster.start({ nodes: 1, workMs: 100 });
  const first = await cluster.open("primary");
  const second = await cluster.open("primary");
  await second.query("BEGIN");
  await second.query("WRITE viola taken");
  const write = first.query("WRITE cello taken");
  const drained = cluster.nodes[0]?.drain();
  expect(await write).toMatch(/^COMPLETE/);
  expect(await second.query("COMMIT")).toMatch(/^COMPLETE/);
  await drained;
  await waitUntil(() => first.isClosed && second.isClosed);
});

// A node is asked to end, and the primary goes away afterwards. Were the node still listed, the change
// would wait until its permission is over; it took itself out, after giving the permission up.
test("a node that was drained is not waited for by the next change", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  await waitUntil(() => cluster.isListed());
  const client = await cluster.open("primary", 0);
  await client.query("WRITE cello taken");
  const leaving = await cluster.open("primary", 1);
  await cluster.nodes[1]?.drain();
  expect(cluster.store.find("radishwalk-proxies", "vm-1")).toBeUndefined();
  await waitUntil(() => leaving.isClosed);
  await cluster.target(0).crash();
  cluster.store.remove("servers", "i-0");
  await waitUntil(isSettled);
  const told = cluster.lines.filter((line) => line.event.name === "proxiesTold");
  expect(told.map((line) => line.fields.silent)).toEqual(told.map(() => 0));
});

// A node loses its power for good. The next change of primary finds it silent, waits it out and marks its
// entry, which is removed some time later: the change after that waits for nobody.
test("the entry of a node that is gone for good is removed", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  await waitUntil(() => cluster.isListed());
  await (await cluster.open("primary", 0)).query("WRITE cello taken");
  await cluster.nodes[1]?.dispose();
  await cluster.target(0).crash();
  cluster.store.remove("servers", "i-0");
  await waitUntil(isSettled);
  await waitUntil(() => find("vm-1")?.missed === true);
  await waitUntil(() => find("vm-1") === undefined);
  expect(find("vm-0")?.missed).toBeUndefined();
});

// A change found a node silent, which lives after all. It takes the mark off its entry, and uses
// primaries only once that is done.
test("a node that was missed says that it lives", async () => {
  cluster = await Cluster.start({ nodes: 1 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  const marked = { ...find("vm-0"), missed: true };
  cluster.store.set("radishwalk-proxies", "vm-0", marked);
  await waitUntil(() => find("vm-0")?.missed === undefined);
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
});
