import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { sendHttpCall } from "../../src/platform/call.js";
import { openHttpPool, type HttpPool } from "../../src/platform/pool.js";

let server: Server;
let pool: HttpPool;
const sockets = new Set<Socket>();
const silent = new Set<Socket>();

const openPool = () => {
  const address = server.address();
  const port = typeof address === "object" && address !== null ? address.port : 0;
  return openHttpPool(`http://127.0.0.1:${port}`, 3);
};

beforeEach(async () => {
  server = createServer((request, response) => {
    if (silent.has(request.socket)) return;
    setTimeout(() => response.end(JSON.stringify({ path: request.url })), 10);
  });
  server.on("connection", (socket: Socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  pool = openPool();
});

afterEach(async () => {
  pool.destroy();
  for (const socket of sockets) socket.destroy();
  silent.clear();
  await new Promise((resolve) => server.close(resolve));
});

const get = (timeoutMs: number) => sendHttpCall(pool, { method: "GET", path: "/a", timeoutMs });

test("a connection serves one call after the other", async () => {
  for (let i = 0; i < 5; i += 1) {
    expect(await get(5000)).toEqual({ type: "answered", status: 200, body: { path: "/a" } });
  }
  expect(sockets.size).toBe(1);
});

// All connections to the store fall silent for good, while new ones work. The first call that gets no
// answer shows it. Were only its own connection closed, each of the others would cost one more call its
// whole time, and a node that may not look at the store for that long refuses its callers.
test("after one call without an answer the next goes over a new connection", async () => {
  await Promise.all([get(5000), get(5000), get(5000)]);
  expect(sockets.size).toBe(3);
  for (const socket of sockets) silent.add(socket);
  expect((await get(100)).type).toBe("lost");
  expect((await get(5000)).type).toBe("answered");
});

// Nothing listens: no byte was sent, which a caller of a write must know.
test("a call that found nobody was not sent", async () => {
  const closed = openPool();
  await new Promise((resolve) => server.close(resolve));
  const call = { method: "PUT", path: "/a", body: "{}", timeoutMs: 5000 } as const;
  expect((await sendHttpCall(closed, call)).type).toBe("notSent");
});
