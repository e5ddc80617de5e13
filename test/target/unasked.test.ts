import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { PgTargetConnector } from "../../src/target/index.js";

const authenticationOk = Buffer.from("R\0\0\0\x08\0\0\0\0", "latin1");
const ready = Buffer.from("Z\0\0\0\x05I", "latin1");
const commandComplete = Buffer.from("C\0\0\0\x0dSELECT 1\0", "latin1");

let server: Server;
let socket: Socket | undefined;

beforeEach(async () => {
  server = createServer((accepted) => {
    socket = accepted;
    accepted.on("error", () => undefined);
    accepted.once("data", () => accepted.write(Buffer.concat([authenticationOk, ready])));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  socket?.destroy();
  server.close();
});

// An answer that arrives after its exchange is considered over would be read as the next caller's. So a
// connection that receives an unexpected message is closed and never used again.
test("a connection that receives an unexpected message is closed", async () => {
  const { port } = server.address() as AddressInfo;
  const address = { host: "127.0.0.1", port };
  const target = { name: "t", dataCentre: "dc", address, slots: 1, connections: 1 };
  const session = await new PgTargetConnector().open(target, "libro", 1000);
  const closed = new Promise<void>((resolve) => socket?.once("close", () => resolve()));
  socket?.write(commandComplete);
  await closed;
  expect(session.isUsable).toBe(false);
});
