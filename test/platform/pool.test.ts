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

test("a connection is reused for successive requests", async () => {
  for (let i = 0; i < 5; i += 1) {
    expect(await get(5000)).toEqual({ type: "answered", status: 200, body: { path: "/a" } });
  }
  expect(sockets.size).toBe(1);
});

// A network fault silences all established connections to the store for good, while new ones work. If
// only the connection of the first unanswered request were closed, each of the others would cost another
// request its whole timeout, and a node that can't read the store for that long refuses its callers.
test("after an unanswered request the next one uses a new connection", async () => {
  await Promise.all([get(5000), get(5000), get(5000)]);
  expect(sockets.size).toBe(3);
  for (const socket of sockets) silent.add(socket);
  expect((await get(100)).type).toBe("lost");
  expect((await get(5000)).type).toBe("answered");
});

// Nothing listens on the port, so no byte is sent. The caller of a write must be able to tell.
test("a request whose connection is refused is reported as not sent", async () => {
  const closed = openPool();
  await new Promise((resolve) => server.close(resolve));
  const call = { method: "PUT", path: "/a", body: "{}", timeoutMs: 5000 } as const;
  expect((await sendHttpCall(closed, call)).type).toBe("notSent");
});
