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

// The primary crashes and its entry expires. One proxy acquires the right to change primaries, notifies the
// others and has the replica with the longest log promoted. Callers can write again and no write is lost.
test("a crashed primary is replaced exactly once and callers can continue", async () => {
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

// The platform announces that the primary leaves. It is demoted first, and its last commits reach a replica
// before that is promoted, so that no acknowledged commit is lost.
test("a leaving primary is replaced without losing a commit", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  cluster.log.isCopying = false;
  await client.query("WRITE viola taken");
  cluster.announce(cluster.target(0), "draining");
  await waitUntil(() => cluster.target(0).member.role === "replica");
  // The demoted primary's log reaches the replicas a little later.
  for (const target of cluster.targets) target.member.log = cluster.target(0).member.log;
  cluster.log.isCopying = true;
  await waitUntil(isSettled);
  await waitUntil(async () => (await client.query("READ viola")).startsWith("DATAROW taken"));
  expect(cluster.log.findPrimary()?.log).toHaveLength(2);
});

// The store's answer to the write that acquires the right to change primaries is lost. The document is read
// back, which shows that the write took effect; the change continues with one holder and increasing tokens.
test("a lost answer of the store neither stops a change nor leads to two holders", async () => {
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

// The platform promotes a target, but its answer is lost. The same request is repeated, which has no further
// effect, and that target is the primary.
test("a promotion whose answer is lost is requested again for the same target", async () => {
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

// The proxy that holds the right to change primaries dies during a change, and its document, which states that
// the group's primary is being changed, is no longer renewed. After a timeout another proxy takes over, with a
// higher token.
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

// No proxy can reach the store, so no change of primary can begin. The proxies confirm to each other that they
// know of none, and callers can still write and read at the primary.
test("primaries are used during an outage of the store", async () => {
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

// Two proxies start together, and the store becomes unavailable before one has seen the other's entry. That one
// would be a majority by itself according to its list; it must nevertheless stop using the primary.
test("a proxy that has not seen the others yet does not confirm itself", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  const client = await cluster.open("primary", 1);
  await cluster.nodes[0]?.dispose();
  cluster.store.isBusy = true;
  await waitUntil(async () => (await client.query("READ cello")).startsWith("ERROR BUSY"));
});

// A proxy reaches neither the store nor other proxies, but still reaches the primary. It could continue to
// read there after a change of primary that it doesn't learn of, so it stops when its permit expires.
test("a proxy without a confirmation stops using the primary", async () => {
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

// The primary stops answering while it is still listed, as in a network partition, and statements time out.
// No proxy reaches it, so it is replaced without waiting until its entry expires.
test("a silent primary is replaced", async () => {
  cluster = await Cluster.start({ nodes: 2 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  cluster.target(0).faults.isSilent = true;
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
  expect(cluster.store.orders[0]?.id).not.toBe("i-0");
});

// The primary stops answering while a write waits for it, with a timeout of 20 s on this route. There is no
// other connection whose failure would confirm this; it is replaced nevertheless, long before the timeout.
test("a silent primary is replaced while a statement still waits for it", async () => {
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

// The store returns an outdated configuration after a newer one. The older one is never applied.
test("an older configuration is never applied after a newer one", async () => {
  cluster = await Cluster.start({ nodes: 1 });
  const client = await cluster.open("stale");
  const old = cluster.store.find("config", "main");
  cluster.setRoutes({ without: "stale" });
  await waitUntil(async () => (await client.query("READ x")).startsWith("ERROR NODB"));
  cluster.store.set("config", "main", old);
  await new Promise((resolve) => setTimeout(resolve, 1600));
  expect(await client.query("READ x")).toMatch(/^ERROR NODB/);
});

// The stored configuration can't be decoded. The last valid one stays in force, and the fault is logged.
test("a malformed configuration is logged and not applied", async () => {
  cluster = await Cluster.start({ nodes: 1 });
  const client = await cluster.open("primary");
  cluster.store.set("config", "main", { version: 99, routes: "none" });
  await waitUntil(() => cluster.lines.some((line) => line.event.name === "configurationUnread"));
  expect(await client.query("READ x")).toMatch(/^DATAROW/);
});

// A node is asked to shut down while one caller's write runs at the target and another caller has a
// transaction open. Both get complete answers; the connections are closed between operations.
test("a drain interrupts no request", async () => {
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

// A node shuts down, and then the primary fails. If the node were still listed, the change of primary would
// wait until its permit expires; but it revoked its permit and then deregistered.
test("a change of primary does not wait for a drained node", async () => {
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

// A node ends without a signal and does not return. The next change of primary can't notify it and marks its entry
// as missed. The entry is removed later, so that it does not occupy the place of a live node.
test("the entry of a node that does not return is removed", async () => {
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

// A change of primary marked a node as missed that is running. The node removes the mark from its entry, and
// uses primaries again only after that.
test("a running node removes the mark of a missed proxy from its entry", async () => {
  cluster = await Cluster.start({ nodes: 1 });
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  const marked = { ...find("vm-0"), missed: true };
  cluster.store.set("radishwalk-proxies", "vm-0", marked);
  await waitUntil(() => find("vm-0")?.missed === undefined);
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
});
