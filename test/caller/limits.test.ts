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

test("a connection over the limit of the proxy or of its team is refused at once", async () => {
  const limits = { maxConnections: 2, maxConnectionsPerTeam: 1 };
  const { connect, server } = await start({ limits });
  await connect();
  await expect(connect()).rejects.toMatchObject({ code: "53300", message: /team "acme"/ });
  await waitUntil(() => server.connectionCount === 1);
  await connect({ user: "other" });
  await expect(connect({ user: "third" })).rejects.toMatchObject({ code: "53300" });
});

test("a closed connection no longer counts against the limit", async () => {
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
  ["a length below the header's size", header(frontendTypes.query, 0)],
  ["a length over the limit", header(frontendTypes.query, 2_000_000_000)],
  ["a string without its terminator", encodeMessage(frontendTypes.query, Buffer.from("select 1"))],
  ["a password that was not requested", encodeMessage(frontendTypes.password, Buffer.of(0))],
  [
    "a malformed Parse",
    Buffer.concat([encodeMessage(frontendTypes.parse), pgProtocol.serialize.sync()]),
  ],
])("%s closes the connection with 08P01", async (_, bytes) => {
  const { address, group } = await start();
  const answer = await sendRaw(address, startup, bytes);
  expect(answer.toString()).toContain("C08P01");
  expect(group.requests).toEqual([]);
});

test("more bytes before a Sync than the limit close the connection", async () => {
  const { address } = await start({ limits: { maxMessageBytes: 4096 } });
  const parse = pgProtocol.serialize.parse({ text: "x".repeat(1000) });
  const answer = await sendRaw(address, startup, ...Array.from({ length: 5 }, () => parse));
  expect(answer.toString()).toContain("too many bytes before a Sync");
});

test("a start-up message with length zero closes the connection", async () => {
  const { address } = await start();
  expect((await sendRaw(address, Buffer.alloc(4))).toString()).toContain("C08P01");
});

// An attacker on the network path appends a query to the caller's request for encryption. If those
// bytes were kept, they would run as the caller's own once the connection is encrypted.
test("bytes that follow a request for encryption close the connection", async () => {
  const { address } = await start();
  const answer = await sendRaw(address, Buffer.concat([sslRequest, startup]));
  expect(answer.toString()).toContain("C08P01");
});

test("a caller may continue in plain text after encryption was refused", async () => {
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

// A caller sends only part of a message, sends no start-up message, or leaves a transaction idle.
// Without a limit it would occupy its connection, in a transaction also a target's, indefinitely.
test.each<[string, Record<string, number>, readonly Buffer[], string]>([
  ["a stalled message", { messageStallMs: 50 }, [startup, query.subarray(0, 7)], "08P01"],
  ["a stalled start-up", { startupMs: 50 }, [startup.subarray(0, 9)], "08P01"],
  ["no start-up", { startupMs: 50 }, [], "08P01"],
  ["an idle session", { idleMs: 50 }, [startup], "57P05"],
  ["an idle transaction", { idleInTransactionMs: 50 }, [startup, query], "25P03"],
])("%s is closed after its limit", async (_, limits, bytes, code) => {
  const { address, group, server } = await start({ limits }, () => ({ status: "T" }));
  const answer = await sendRaw(address, ...bytes);
  expect(answer.toString()).toContain(`C${code}`);
  await waitUntil(() => server.connectionCount === 0);
  expect([server.connectionCount, group.closed]).toEqual([0, group.opened]);
});

// The proxy was paused for a day and continues. What its callers sent meanwhile is still unread, so
// none of them has exceeded a limit.
test("a pause of the proxy does not count against a caller's time limits", async () => {
  let clockReads = 0;
  let pausedMs = 0;
  const now = () => {
    clockReads += 1;
    return clock.now() + pausedMs;
  };
  const { connect } = await start({ clock: { ...clock, now } });
  const client = await connect();
  pausedMs = 86_400_000;
  clockReads = 0;
  await waitUntil(() => clockReads > 6);
  expect((await client.query("select 1")).command).toBe("SELECT");
});

// The caller requests 80 MB and reads nothing. The answer may occupy the target's connection only
// until the limit, and the proxy may keep no more of it than a socket buffers.
test("a caller that stops reading is disconnected after its limit", async () => {
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

test("a disconnect aborts a read in flight but lets a write finish", async () => {
  const gate = createGate();
  const { group, address, server } = await start({}, () => ({ wait: gate.promise }));
  for (const text of ["select 1", "delete from t"]) {
    const socket = new Socket().connect(address.port, address.host);
    const expectedRequests = group.requests.length + 1;
    socket.write(Buffer.concat([startup, pgProtocol.serialize.query(text)]));
    await waitUntil(() => group.requests.length === expectedRequests);
    socket.destroy();
    await waitUntil(() => server.connectionCount === 0);
  }
  await new Promise(setImmediate);
  expect(group.closed).toBe(1);
  gate.open();
  await waitUntil(() => group.closed === 2);
});

test("a cancel request ends the caller's request only with the right secret", async () => {
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

// The proxy drains while one caller is idle, one runs a statement and one is in a transaction. The
// idle one gets 57P01 at once; the others get their whole answers, and 57P01 after the commit.
test("draining closes idle connections and cuts off nothing in flight", async () => {
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

test("draining ends at its limit and returns the number of cut-off connections", async () => {
  const { connect, server } = await start({ limits: { drainMs: 40 } }, () => ({ status: "T" }));
  const client = await connect();
  await client.query("begin");
  expect(await server.drain()).toEqual({ cutOff: 1 });
});

test("a caller without TLS is refused if TLS is configured", async () => {
  const { connect } = await start({
    getSecureContext: () => {
      throw new Error("no certificate should be requested");
    },
  });
  await expect(connect()).rejects.toMatchObject({ code: "28000", message: "the proxy wants TLS" });
});

test("random input does not affect other callers", async () => {
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
    fc.asyncProperty(fc.boolean(), parts, async (hasStartup, list) => {
      const end = hasStartup ? [pgProtocol.serialize.end()] : [];
      await sendRaw(address, ...(hasStartup ? [startup] : []), ...list, ...end);
      expect((await other.query("select 1")).command).toBe("SELECT");
    }),
    { seed: 11, numRuns: 60 },
  );
  expect(server.connectionCount).toBe(1);
});
