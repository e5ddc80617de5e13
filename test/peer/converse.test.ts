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

const never = new AbortController().signal;

async function run(conversation: Conversation, text = "insert", signal = never) {
  const received: Buffer[] = [];
  const outcome = await conversation.run(
    request,
    pgProtocol.serialize.query(text),
    (message) => void received.push(Buffer.from(message)),
    signal,
  );
  return { outcome, types: received.map((m) => String.fromCharCode(m[0] ?? 0)).join(""), received };
}

const silentOnce = (): ((text: string) => Reply) => {
  let asked = 0;
  return () => (asked++ === 0 ? { wait: new Promise(() => undefined) } : {});
};

function standStill(ms: number): void {
  const until = clock.now() + ms;
  while (clock.now() < until);
}

const notRun = { type: "notRun", reason: "noOwner", retryAfterMs: 500 };

test("a request, its answer and its outcome survive the trip", async () => {
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
  "an outcome %# survives",
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

// One caller reads none of its 40 MB. Its target must wait, or the owner would keep it all in
// memory; and other answers share the connection, so they must pass it by.
test("an answer that is not read holds back its target and nobody else", async () => {
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
  const slow = gateway.open("g").run(request, pgProtocol.serialize.query("large"), take, never);
  await waitUntil(() => rows > 0);
  for (let i = 0; i < 20; i++) {
    expect((await run(gateway.open("g"))).outcome.type).toBe("answered");
  }
  expect(rows).toBeLessThan(20);
  read();
  expect((await slow).type).toBe("answered");
  expect(bytes).toBe(400 * row.length);
});

test("a request given up here is given up at the owner", async () => {
  const group = new FakeGroup(silentOnce());
  const { gateway } = await start(group);
  const abort = new AbortController();
  const pending = run(gateway.open("g"), "select", abort.signal);
  await waitUntil(() => group.requests.length > 0);
  abort.abort();
  expect((await pending).outcome).toMatchObject({ verdict: { type: "mayHaveRun" } });
  await waitUntil(() => group.aborted > 0);
});

test("no owner known, and none there, are not run with a time to come back", async () => {
  const { gateway, server, links } = await start(new FakeGroup());
  const options = { links, clock, getHello: () => makeHello("asker") };
  const lonely = new RemoteGateway({ ...options, findOwner: () => undefined });
  expect((await run(lonely.open("g"))).outcome).toMatchObject({ verdict: notRun });
  server.dispose();
  const closed = makeVm("gone", { host: "127.0.0.1", port: 1 });
  const late = new RemoteGateway({ ...options, findOwner: () => closed });
  expect((await run(late.open("g"))).outcome).toMatchObject({ verdict: notRun });
  expect((await run(gateway.open("g"))).outcome.type).toBe("failed");
});

// The owner takes the write, then the connection is cut, or goes silent with no sign of its end.
// Nobody here can know whether the write landed, so the caller must hear "may have run"; the next
// request takes a new connection and runs.
test.each(["cut", "silence"] as const)("a %s under way may have run", async (fault) => {
  const group = new FakeGroup(silentOnce());
  const { gateway, relay } = await start(group);
  const pending = run(gateway.open("g"));
  await waitUntil(() => group.requests.length > 0);
  relay[fault]();
  expect((await pending).outcome).toMatchObject({ verdict: { type: "mayHaveRun" } });
  expect((await run(gateway.open("g"))).outcome.type).toBe("answered");
});

// The connection goes silent while nothing is under way. The next write must not be sent into it:
// its caller would hear "may have run" of a write that never left.
test("a connection that went silent while idle is replaced before use", async () => {
  const group = new FakeGroup();
  const { gateway, relay } = await start(group);
  await run(gateway.open("g"));
  relay.silence();
  await new Promise((resolve) => setTimeout(resolve, 80));
  expect((await run(gateway.open("g"))).outcome.type).toBe("answered");
  expect(group.requests).toHaveLength(2);
});

// This process stands still for longer than a silent connection is borne with. The owner's sign of
// life has come and waits to be read; the request under way must not be given up.
test("a pause of the asking process breaks no connection", async () => {
  let open = (): void => undefined;
  const wait = new Promise<void>((resolve) => (open = resolve));
  const group = new FakeGroup(() => ({ wait }));
  const { gateway } = await start(group);
  const pending = run(gateway.open("g"));
  await waitUntil(() => group.requests.length > 0);
  for (let i = 0; i < 5; i++) {
    standStill(100);
    // The connection, silent for so long, is asked for a sign of life now.
    await new Promise(setImmediate);
    standStill(100);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  open();
  expect((await pending).outcome.type).toBe("answered");
});

// The connection goes silent in the middle of a transaction, and the asking process gives it up without
// the owner hearing of it. The transaction must end there too: it holds its target's connection, and a
// drain of the owner would wait for it in vain.
test("a transaction whose peer has gone silent ends at the owner", async () => {
  const group = new FakeGroup(() => ({ status: "T" }));
  const { gateway, relay } = await start(group);
  await run(gateway.open("g"), "begin");
  relay.silence();
  await waitUntil(() => group.closed > 0);
});

// The owner dies between two statements of a transaction. Its target's connection is closed with
// it, so nothing of the transaction lands and the second statement has not run.
test("a transaction whose owner is lost between statements has not run", async () => {
  const { gateway, relay } = await start(new FakeGroup(() => ({ status: "T" })));
  const conversation = gateway.open("g");
  await run(conversation, "begin");
  relay.cut();
  await new Promise((resolve) => setTimeout(resolve, 20));
  expect((await run(conversation, "update")).outcome).toMatchObject({ verdict: notRun });
});

test("a redirect is followed once, and two that point at each other end", async () => {
  const group = new FakeGroup();
  const owner = await start(group);
  const elsewhere = (to: Vm) => ({
    chooseOwner: () => ({ type: "elsewhere", owner: to }) as const,
  });
  const moved = await start(group, elsewhere(owner.vm));
  expect((await run(moved.gateway.open("g"))).outcome.type).toBe("answered");
  const twice = await start(group, elsewhere(moved.vm));
  const result: Outcome = (await run(twice.gateway.open("g"))).outcome;
  expect(result).toMatchObject({ verdict: notRun });
  expect(group.requests).toHaveLength(1);
});

test("an answer cut inside a message is never handed on", async () => {
  const whole = encodeMessage(0x44, Buffer.alloc(10));
  const { gateway } = await start(new FakeGroup(() => ({ raw: whole.subarray(0, 9) })));
  const { outcome, received } = await run(gateway.open("g"));
  expect(outcome).toMatchObject({ verdict: { type: "mayHaveRun" } });
  expect(received).toEqual([]);
});
