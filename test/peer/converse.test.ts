import { afterEach, expect, test } from "@jest/globals";
import pgProtocol from "pg-protocol";
import { encodeMessage } from "../../src/caller/message.js";
import type { Conversation, GroupGateway, Outcome, Vm } from "../../src/model/index.js";
import { RemoteGateway } from "../../src/peer/index.js";
import {
  clock,
  createFailedOutcome,
  FakeGroup,
  createMark,
  type Reply,
  waitUntil,
} from "../caller/fake.js";
import { makeHandlers, makeHello, makeVm, request, startPeer } from "./fake.js";

type Peer = Awaited<ReturnType<typeof startPeer>>;
const running: Peer[] = [];

afterEach(() => {
  for (const peer of running.splice(0)) peer.stop();
});

async function start(group: GroupGateway, rest?: Parameters<typeof makeHandlers>[1]) {
  const peer = await startPeer(makeHandlers(group, rest));
  running.push(peer);
  return peer;
}

const neverAborted = new AbortController().signal;

async function run(conversation: Conversation, text = "insert", signal = neverAborted) {
  const received: Buffer[] = [];
  const outcome = await conversation.run(
    request,
    pgProtocol.serialize.query(text),
    (message) => void received.push(Buffer.from(message)),
    signal,
  );
  return { outcome, types: received.map((m) => String.fromCharCode(m[0] ?? 0)).join(""), received };
}

const unansweredOnce = (): ((text: string) => Reply) => {
  let asked = 0;
  return () => (asked++ === 0 ? { wait: new Promise(() => undefined) } : {});
};

function stallProcess(ms: number): void {
  const until = clock.now() + ms;
  while (clock.now() < until);
}

const notRun = { type: "notRun", reason: "noOwner", retryAfterMs: 500 };

test("a request, its answer and its outcome are transferred unchanged", async () => {
  const group = new FakeGroup(() => ({ rows: ["a", "b"], mark: createMark(9) }));
  const { gateway } = await start(group);
  const { outcome, types } = await run(gateway.open("g"));
  expect(types).toBe("TDDC");
  const servedBy = { target: "t1", role: "primary" };
  expect(outcome).toEqual({ type: "answered", status: "I", mark: createMark(9), servedBy });
  const [arrived] = group.requests;
  expect(arrived).toEqual({ ...request, deadlineAt: arrived?.deadlineAt });
});

test.each([createFailedOutcome("notRun"), createFailedOutcome("mayHaveRun")])(
  "outcome %# is transferred unchanged",
  async (sent) => {
    const { gateway } = await start(new FakeGroup(() => ({ outcome: sent })));
    expect((await run(gateway.open("g"))).outcome).toEqual(sent);
  },
);

test("a transaction stays in one conversation, and closing it rolls back", async () => {
  const group = new FakeGroup(() => ({ status: "T" }));
  const { gateway } = await start(group);
  const conversation = gateway.open("g");
  await run(conversation, "begin");
  await run(conversation, "update");
  expect([group.statements, group.opened, group.closed]).toEqual([["begin", "update"], 1, 0]);
  conversation.close();
  await waitUntil(() => group.closed > 0);
});

// One caller does not read its answer of 40 MB. Its target must wait, or the owner would buffer it all
// in memory. Other answers share the connection and must not be blocked.
test("an answer that is not read slows only its own target", async () => {
  const row = encodeMessage(0x44, Buffer.alloc(100_000));
  let rows = 0;
  const group = new FakeGroup();
  const large: Conversation = {
    run: async (_request, _messages, sink) => {
      for (; rows < 400; rows++) await sink(row);
      return { type: "answered", status: "I", servedBy: { target: "t1", role: "replica" } };
    },
    close: () => undefined,
  };
  const { gateway } = await start({ open: () => (rows > 0 ? group.open() : large) });
  let read = (): void => undefined;
  const gate = new Promise<void>((resolve) => (read = resolve));
  let bytes = 0;
  const take = async (message: Uint8Array) => {
    await gate;
    bytes += message.length;
  };
  const slow = gateway
    .open("g")
    .run(request, pgProtocol.serialize.query("large"), take, neverAborted);
  await waitUntil(() => rows > 0);
  for (let i = 0; i < 20; i++) {
    expect((await run(gateway.open("g"))).outcome.type).toBe("answered");
  }
  expect(rows).toBeLessThan(20);
  read();
  expect((await slow).type).toBe("answered");
  expect(bytes).toBe(400 * row.length);
});

test("a request that the caller cancels is cancelled at the owner", async () => {
  const group = new FakeGroup(unansweredOnce());
  const { gateway } = await start(group);
  const abort = new AbortController();
  const pending = run(gateway.open("g"), "select", abort.signal);
  await waitUntil(() => group.requests.length > 0);
  abort.abort();
  expect((await pending).outcome).toMatchObject({ verdict: { type: "mayHaveRun" } });
  await waitUntil(() => group.aborted > 0);
});

test("with an unknown or unreachable owner a request has not run and may be retried after a time", async () => {
  const { gateway, server, links } = await start(new FakeGroup());
  const options = { connections: links, clock, getHello: () => makeHello("asker") };
  const withoutOwner = new RemoteGateway({ ...options, findOwner: () => undefined });
  expect((await run(withoutOwner.open("g"))).outcome).toMatchObject({ verdict: notRun });
  server.dispose();
  const closed = makeVm("gone", { host: "127.0.0.1", port: 1 });
  const withUnreachableOwner = new RemoteGateway({ ...options, findOwner: () => closed });
  expect((await run(withUnreachableOwner.open("g"))).outcome).toMatchObject({ verdict: notRun });
  expect((await run(gateway.open("g"))).outcome.type).toBe("failed");
});

// The owner receives the write, then the connection is cut, or stops responding without being closed.
// Whether the write was committed is unknown, so the outcome must be "may have run". The next request
// uses a new connection and runs.
test.each(["cut", "silence"] as const)(
  "a request may have run after a %s of its connection",
  async (fault) => {
    const group = new FakeGroup(unansweredOnce());
    const { gateway, relay } = await start(group);
    const pending = run(gateway.open("g"));
    await waitUntil(() => group.requests.length > 0);
    relay[fault]();
    expect((await pending).outcome).toMatchObject({ verdict: { type: "mayHaveRun" } });
    expect((await run(gateway.open("g"))).outcome.type).toBe("answered");
  },
);

// The connection stops responding while no request is in progress. The next write must not be sent on
// it: its caller would get "may have run" for a write that never left the process.
test("a connection that stopped responding while idle is replaced before use", async () => {
  const group = new FakeGroup();
  const { gateway, relay } = await start(group);
  await run(gateway.open("g"));
  relay.silence();
  await new Promise((resolve) => setTimeout(resolve, 80));
  expect((await run(gateway.open("g"))).outcome.type).toBe("answered");
  expect(group.requests).toHaveLength(2);
});

// The calling process stalls for longer than the ping timeout. The owner's ping acknowledgement has
// arrived and is not read yet; the request in progress must not fail.
test("a stall of the calling process fails no connection", async () => {
  let open = (): void => undefined;
  const wait = new Promise<void>((resolve) => (open = resolve));
  const group = new FakeGroup(() => ({ wait }));
  const { gateway } = await start(group);
  const pending = run(gateway.open("g"));
  await waitUntil(() => group.requests.length > 0);
  for (let i = 0; i < 5; i++) {
    stallProcess(100);
    // Nothing was received on the connection for a while, so it is pinged now.
    await new Promise(setImmediate);
    stallProcess(100);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  open();
  expect((await pending).outcome.type).toBe("answered");
});

// The connection stops responding during a transaction, and the calling process abandons it without
// the owner being notified. The owner must end the transaction too: it holds its target's connection,
// and a drain of the owner would wait for it until the drain's limit.
test("a transaction whose peer stops responding ends at the owner", async () => {
  const group = new FakeGroup(() => ({ status: "T" }));
  const { gateway, relay } = await start(group);
  await run(gateway.open("g"), "begin");
  relay.silence();
  await waitUntil(() => group.closed > 0);
});

// The owner fails between two statements of a transaction. Its connection to the target is closed with
// it, so the transaction is rolled back and the second statement has not run.
test("a transaction whose owner fails between statements has not run", async () => {
  const { gateway, relay } = await start(new FakeGroup(() => ({ status: "T" })));
  const conversation = gateway.open("g");
  await run(conversation, "begin");
  relay.cut();
  await new Promise((resolve) => setTimeout(resolve, 20));
  expect((await run(conversation, "update")).outcome).toMatchObject({ verdict: notRun });
});

test("a redirect is followed once, and a second one is not", async () => {
  const group = new FakeGroup();
  const owner = await start(group);
  const elsewhere = (to: Vm) => ({
    chooseOwner: () => ({ type: "elsewhere", owner: to }) as const,
  });
  const moved = await start(group, elsewhere(owner.vm));
  expect((await run(moved.gateway.open("g"))).outcome.type).toBe("answered");
  const redirectedTwice = await start(group, elsewhere(moved.vm));
  const result: Outcome = (await run(redirectedTwice.gateway.open("g"))).outcome;
  expect(result).toMatchObject({ verdict: notRun });
  expect(group.requests).toHaveLength(1);
});

test("an answer that ends inside a message is not forwarded", async () => {
  const whole = encodeMessage(0x44, Buffer.alloc(10));
  const { gateway } = await start(new FakeGroup(() => ({ raw: whole.subarray(0, 9) })));
  const { outcome, received } = await run(gateway.open("g"));
  expect(outcome).toMatchObject({ verdict: { type: "mayHaveRun" } });
  expect(received).toEqual([]);
});
