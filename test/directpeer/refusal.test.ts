import { createServer, type Server, type Socket } from "node:net";
import { afterEach, expect, test } from "@jest/globals";
import { DirectPeerClient } from "../../src/directpeer/index.js";
import { silentLogger } from "../../src/log/index.js";
import { DisposableStore, type Address } from "../../src/model/index.js";
import { createSystemClock } from "../../src/system/index.js";
import { findAddress } from "../node/cluster.js";

const update = {
  leadership: { version: 3, document: { holder: undefined, groups: {} } },
  promoted: [],
};
const timeoutMs = 150;
let owned = new DisposableStore();

afterEach(async () => {
  await owned.dispose();
  owned = new DisposableStore();
});

const share = (address: Address) =>
  new DirectPeerClient("vm-0", silentLogger, createSystemClock()).share(
    { vm: "vm-1", address },
    update,
    timeoutMs,
  );

/** Listens without serving the protocol. */
async function listen(onSocket: (socket: Socket) => void): Promise<Address> {
  const address = await findAddress();
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    socket.on("error", () => undefined);
    sockets.push(socket);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(address.port, address.host, resolve));
  owned.defer(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return address;
}

// A partition refuses connections in the name of a machine that runs; taken for ended, it would read at an old primary.
test("a peer whose connections are refused is silent", async () => {
  const { host, port } = await findAddress();
  for (const refusing of [host, "localhost", "0.0.0.0"])
    expect(await share({ host: refusing, port })).toEqual({ type: "silent" });
});

// A suspended or overloaded process uses its permit again as soon as it runs; taken for ended, it would read at an
// old primary.
test("a peer that accepts connections and does not answer is silent", async () => {
  expect(await share(await listen(() => undefined))).toEqual({ type: "silent" });
});

// A connection is reset by a middlebox, or by a process that runs and is at its limit of descriptors.
test("a peer whose connections are closed or reset is silent", async () => {
  expect(await share(await listen((socket) => socket.destroy()))).toEqual({ type: "silent" });
  expect(await share(await listen((socket) => socket.resetAndDestroy()))).toEqual({
    type: "silent",
  });
});
