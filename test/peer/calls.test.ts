import { afterEach, expect, test } from "@jest/globals";
import type { ControlResult, PeerHello } from "../../src/model/index.js";
import { ConnectPeerClient, type PeerHandlers } from "../../src/peer/index.js";
import { FakeGroup, createMark } from "../caller/fake.js";
import { makeHandlers, makeHello, startPeer } from "./fake.js";

type Peer = Awaited<ReturnType<typeof startPeer>>;
let running: Peer | undefined;

afterEach(() => running?.stop());

async function start(rest: Partial<PeerHandlers> = {}) {
  const heard: PeerHello[] = [];
  const onHello = (hello: PeerHello) => void heard.push(hello);
  const peer = await startPeer(makeHandlers(new FakeGroup(), { onHello, ...rest }));
  running = peer;
  const getHello = () => makeHello("asker");
  return { ...peer, heard, client: new ConnectPeerClient({ links: peer.links, getHello }) };
}

const timeoutMs = 1000;

test("a probe tells each end of the other", async () => {
  const { client, vm, heard } = await start();
  const found = await client.probe(vm, makeHello("asker"), timeoutMs);
  expect(found).toEqual({ type: "answered", hello: makeHello("owner") });
  const leaving = { ...makeHello("asker"), state: "leaving" } as const;
  await client.announce(vm, leaving, timeoutMs);
  expect(heard).toEqual([makeHello("asker"), leaving]);
});

test("a probe through another tells what that one found", async () => {
  const found = { type: "answered", hello: makeHello("third") } as const;
  const { client, vm } = await start({ probe: () => Promise.resolve(found) });
  const hello = makeHello("asker");
  expect(await client.probeThrough(vm, { ...vm, name: "third" }, hello, timeoutMs)).toEqual(found);
});

const term = { round: 3, vm: "a" };
const results: readonly ControlResult[] = [
  { type: "refused", fencedAt: term },
  { type: "unreachable", reason: "late" },
  {
    type: "accepted",
    status: {
      target: "t1",
      role: "replica",
      mark: createMark(2 ** 40),
      lineage: [{ term, start: 5 }],
      fencedAt: term,
      follows: "t2",
    },
  },
];

test.each(results)("a check of a target that is $type survives the trip", async (result) => {
  const { client, vm } = await start({ checkTarget: () => Promise.resolve(result) });
  expect(await client.checkTarget(vm, "g", "t1", timeoutMs)).toEqual(result);
});

test("configurations and reports travel as they are", async () => {
  const value = { revision: 7, rules: [{ name: "é" }] };
  const { client, vm } = await start({
    fetchConfiguration: (after) =>
      Promise.resolve(after < 7 ? { type: "found", value } : { type: "absent" }),
    pushConfiguration: (pushed) => Promise.resolve(pushed === null ? 0 : 8),
    report: () => value,
  });
  expect(await client.fetchConfiguration(vm, 6, timeoutMs)).toEqual({ type: "found", value });
  expect(await client.fetchConfiguration(vm, 7, timeoutMs)).toEqual({ type: "absent" });
  expect(await client.pushConfiguration(vm, value, timeoutMs)).toEqual({ type: "found", value: 8 });
  expect(await client.fetchReport(vm, timeoutMs)).toEqual({ type: "found", value });
});

// The connection to a peer goes silent while the peer is well and new connections work.
// The first probe times out; the second must not be asked on the same connection, or a live VM
// would be taken for dead.
test("after a call that timed out the next takes a new connection", async () => {
  const { client, vm, relay } = await start();
  const hello = makeHello("asker");
  expect((await client.probe(vm, hello, timeoutMs)).type).toBe("answered");
  relay.silence();
  expect((await client.probe(vm, hello, 30)).type).toBe("silent");
  expect((await client.probe(vm, hello, timeoutMs)).type).toBe("answered");
});

test("a call to nobody resolves", async () => {
  const { client, vm, server, relay } = await start();
  server.dispose();
  relay.dispose();
  expect((await client.probe(vm, makeHello("asker"), timeoutMs)).type).toBe("silent");
  expect((await client.checkTarget(vm, "g", "t", timeoutMs)).type).toBe("silent");
  expect((await client.fetchConfiguration(vm, 0, timeoutMs)).type).toBe("unavailable");
});
