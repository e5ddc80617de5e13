import { Socket } from "node:net";
import { afterEach, expect, test } from "@jest/globals";
import fc from "fast-check";
import pgProtocol from "pg-protocol";
import { encodeInt32, encodeMessage, frontendTypes } from "../../src/caller/message.js";
import {
  clock,
  FakeGroup,
  type Reply,
  sendRaw,
  startServer,
  startupMessage,
  waitUntil,
} from "./fake.js";

type Running = Awaited<ReturnType<typeof startServer>>;
let running: Running | undefined;

afterEach(async () => {
  await running?.stop();
  running = undefined;
});

async function start(
  options?: Parameters<typeof startServer>[1],
  reply?: (statement: string) => Reply,
) {
  const group = new FakeGroup(reply);
  running = await startServer(group, options);
  return { group, ...running };
}

function createGate(): { readonly promise: Promise<void>; readonly open: () => void } {
  let open = (): void => undefined;
  const promise = new Promise<void>((resolve) => {
    open = resolve;
  });
  return { promise, open };
}

const startup = startupMessage({ user: "acme", database: "g" });
const sslRequest = Buffer.concat([encodeInt32(8), encodeInt32(80877103)]);
const query = pgProtocol.serialize.query("select 1");

test("a caller too many is told so at once, also when only its team has too many", async () => {
  const limits = { maxConnections: 2, maxConnectionsPerTeam: 1 };
  const { connect, server } = await start({ limits });
  await connect();
  await expect(connect()).rejects.toMatchObject({ code: "53300", message: /team "acme"/ });
  await waitUntil(() => server.connectionCount === 1);
  await connect({ user: "other" });
  await expect(connect({ user: "third" })).rejects.toMatchObject({ code: "53300" });
});

test("room is given back when a caller leaves", async () => {
  const { connect, server } = await start({ limits: { maxConnectionsPerTeam: 1 } });
  for (let i = 0; i < 3; i++) {
    const client = await connect();
    await client.end();
    await waitUntil(() => server.connectionCount === 0);
  }
});

const header = (type: number, length: number) =>
  Buffer.concat([Buffer.of(type), encodeInt32(length)]);

test.each([
  ["an unknown type", header(0x21, 4)],
  ["a length below its header's", header(frontendTypes.query, 0)],
  ["a length over the limit", header(frontendTypes.query, 2_000_000_000)],
  ["a text without its end", encodeMessage(frontendTypes.query, Buffer.from("select 1"))],
  ["a password that nobody asked for", encodeMessage(frontendTypes.password, Buffer.of(0))],
  [
    "a malformed Parse",
    Buffer.concat([encodeMessage(frontendTypes.parse), pgProtocol.serialize.sync()]),
  ],
])("%s ends the connection with 08P01", async (_, bytes) => {
  const { address, group } = await start();
  const answer = await sendRaw(address, startup, bytes);
  expect(answer.toString()).toContain("C08P01");
  expect(group.requests).toEqual([]);
});

test("more bytes before a Sync than the limit end the connection", async () => {
  const { address } = await start({ limits: { maxMessageBytes: 4096 } });
  const parse = pgProtocol.serialize.parse({ text: "x".repeat(1000) });
  const answer = await sendRaw(address, startup, ...Array.from({ length: 5 }, () => parse));
  expect(answer.toString()).toContain("too many bytes before a Sync");
});

test("a start-up of no length ends the connection", async () => {
  const { address } = await start();
  expect((await sendRaw(address, Buffer.alloc(4))).toString()).toContain("C08P01");
});

// Somebody in between appends a query to the caller's request for encryption.
// Were those bytes kept, they would run as the caller's own once the line is encrypted.
test("bytes behind a request for encryption end the connection", async () => {
  const { address } = await start();
  const answer = await sendRaw(address, Buffer.concat([sslRequest, startup]));
  expect(answer.toString()).toContain("C08P01");
});

test("a refusal of encryption leaves the caller to go on in plain text", async () => {
  const { address } = await start();
  const gssRequest = Buffer.concat([encodeInt32(8), encodeInt32(80877104)]);
  const answers = await new Promise<string>((resolve) => {
    const socket = new Socket().connect(address.port, address.host);
    let received = "";
    const next = [sslRequest, startup];
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      const message = next.shift();
      if (message !== undefined) socket.write(message);
      else resolve(received);
    });
    socket.write(gssRequest);
  });
  expect(answers).toMatch(/^NNR/);
});

// A caller begins a message and sends no more of it, sends no start-up, or sits in a transaction.
// Its connection, and with the transaction a target's, would be held for as long as it likes.
test.each<[string, Record<string, number>, readonly Buffer[], string]>([
  ["a stalled message", { messageStallMs: 50 }, [startup, query.subarray(0, 7)], "08P01"],
  ["a stalled start-up", { startupMs: 50 }, [startup.subarray(0, 9)], "08P01"],
  ["no start-up", { startupMs: 50 }, [], "08P01"],
  ["an idle session", { idleMs: 50 }, [startup], "57P05"],
  ["an idle transaction", { idleInTransactionMs: 50 }, [startup, query], "25P03"],
])("%s ends after its limit", async (_, limits, bytes, code) => {
  const { address, group, server } = await start({ limits }, () => ({ status: "T" }));
  const answer = await sendRaw(address, ...bytes);
  expect(answer.toString()).toContain(`C${code}`);
  await waitUntil(() => server.connectionCount === 0);
  expect([server.connectionCount, group.closed]).toEqual([0, group.opened]);
});

// The proxy was paused for a day and goes on. What its callers sent meanwhile waits to be read;
// none of them has overstepped a limit.
test("a pause of the proxy counts against no caller", async () => {
  let looks = 0;
  let pausedMs = 0;
  const now = () => {
    looks += 1;
    return clock.now() + pausedMs;
  };
  const { connect } = await start({ clock: { ...clock, now } });
  const client = await connect();
  pausedMs = 86_400_000;
  looks = 0;
  await waitUntil(() => looks > 6);
  expect((await client.query("select 1")).command).toBe("SELECT");
});

// The caller asks for 80 MB and reads nothing. Its answer must wait with the target's connection
// only until the limit, and what is kept for it here is what a socket buffers.
test("a caller that stops reading is dropped after its limit", async () => {
  const row = "x".repeat(1_000_000);
  const rows = Array.from({ length: 80 }, () => row);
  const { address, server } = await start({ limits: { writeStallMs: 50 } }, () => ({ rows }));
  const socket = new Socket().connect(address.port, address.host);
  socket.pause();
  socket.on("error", () => undefined);
  socket.write(Buffer.concat([startup, query]));
  const closed = new Promise((resolve) => socket.on("close", resolve));
  await waitUntil(() => server.connectionCount > 0);
  await waitUntil(() => server.connectionCount === 0);
  socket.resume();
  await closed;
});

test("a caller that goes away in a read frees the target, in a write lets it land", async () => {
  const gate = createGate();
  const { group, address, server } = await start({}, () => ({ wait: gate.promise }));
  for (const text of ["select 1", "delete from t"]) {
    const socket = new Socket().connect(address.port, address.host);
    const asked = group.requests.length + 1;
    socket.write(Buffer.concat([startup, pgProtocol.serialize.query(text)]));
    await waitUntil(() => group.requests.length === asked);
    socket.destroy();
    await waitUntil(() => server.connectionCount === 0);
  }
  await new Promise(setImmediate);
  expect(group.closed).toBe(1);
  gate.open();
  await waitUntil(() => group.closed === 2);
});

test("a cancel request ends the caller's request, and only with the right secret", async () => {
  const { group, connect, address } = await start({}, (text) =>
    text === "select 1" ? { wait: createGate().promise } : {},
  );
  const client = await connect();
  const { processID, secretKey } = client as unknown as { processID: number; secretKey: number };
  const pending = client.query("select 1");
  await waitUntil(() => group.requests.length > 0);
  await sendRaw(address, pgProtocol.serialize.cancel(processID, secretKey + 1));
  await sendRaw(address, pgProtocol.serialize.cancel(processID, secretKey));
  await expect(pending).rejects.toMatchObject({ detail: /verdict/ });
  expect((await client.query("select 2")).command).toBe("SELECT");
});

// The proxy is told to leave while one caller is idle, one in a statement and one in a transaction.
// The idle one gets 57P01 at once; the others get their whole answers, and 57P01 after the commit.
test("draining closes the idle and cuts off nothing in flight", async () => {
  const gate = createGate();
  const { connect, server, group } = await start({}, (text) => ({
    status: text === "begin" ? "T" : "I",
    ...(text === "select 1" ? { wait: gate.promise, rows: ["1"] } : {}),
  }));
  const [idle, busy, open] = [await connect(), await connect(), await connect()];
  await open.query("begin");
  const pending = busy.query("select 1");
  await waitUntil(() => group.requests.length === 2);
  const ended = new Promise((resolve) => idle.once("end", resolve));
  const drained = server.drain();
  await ended;
  await expect(connect()).rejects.toThrow();
  gate.open();
  expect((await pending).rows).toEqual([{ v: "1" }]);
  expect((await open.query("commit")).command).toBe("COMMIT");
  expect(await drained).toEqual({ cutOff: 0 });
});

test("draining ends at its limit and tells what it cut off", async () => {
  const { connect, server } = await start({ limits: { drainMs: 40 } }, () => ({ status: "T" }));
  const client = await connect();
  await client.query("begin");
  expect(await server.drain()).toEqual({ cutOff: 1 });
});

test("a caller that wants TLS off is refused where TLS is on", async () => {
  const { connect } = await start({
    getSecureContext: () => {
      throw new Error("not asked for");
    },
  });
  await expect(connect()).rejects.toMatchObject({ code: "28000", message: "the proxy wants TLS" });
});

test("nonsense harms nobody else", async () => {
  const { address, connect, server } = await start({
    limits: { startupMs: 30, messageStallMs: 30 },
  });
  const other = await connect();
  const bytes = fc.uint8Array({ maxLength: 64 });
  const typed = fc
    .tuple(fc.constantFrom(...Object.values(frontendTypes)), bytes)
    .map(([type, content]) => encodeMessage(type, content));
  const parts = fc.array(fc.oneof(bytes, typed, fc.constant(query)), { maxLength: 6 });
  await fc.assert(
    fc.asyncProperty(fc.boolean(), parts, async (isGreeted, list) => {
      const end = isGreeted ? [pgProtocol.serialize.end()] : [];
      await sendRaw(address, ...(isGreeted ? [startup] : []), ...list, ...end);
      expect((await other.query("select 1")).command).toBe("SELECT");
    }),
    { seed: 11, numRuns: 60 },
  );
  expect(server.connectionCount).toBe(1);
});
