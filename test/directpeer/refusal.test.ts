import { createServer, type Server, type Socket } from "node:net";
import { afterEach, expect, test } from "@jest/globals";
import { DirectPeerClient } from "../../src/directpeer/index.js";
import { isConnectionRefused } from "../../src/directpeer/refusal.js";
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

test("a peer at whose address no process listens has ended", async () => {
  expect(await share(await findAddress())).toEqual({ type: "ended" });
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

// A name may resolve to another machine than the peer's, for example after the peer has moved.
test("a refusal at an address that is a name proves nothing", async () => {
  const { port } = await findAddress();
  expect(await share({ host: "localhost", port })).toEqual({ type: "silent" });
});

// A process that listens at all addresses of its machine may be listed with the unspecified address. A connection to
// that reaches the machine of the asking process, and says nothing about the peer.
test("a refusal at the unspecified address proves nothing", async () => {
  const { port } = await findAddress();
  expect(await share({ host: "0.0.0.0", port })).toEqual({ type: "silent" });
  const refused = Object.assign(new Error("refused"), { code: "ECONNREFUSED", syscall: "connect" });
  for (const host of ["0.0.0.0", "::", "0:0:0:0:0:0:0:0", "::ffff:0.0.0.0"])
    expect(isConnectionRefused(refused, { host, port })).toBe(false);
  expect(isConnectionRefused(refused, { host: "fd00::1", port })).toBe(true);
});

// Only the kernel's answer to the attempt to connect shows that no process listens.
test("errors other than a refused attempt to connect prove nothing", () => {
  const address = { host: "10.0.0.1", port: 7000 };
  const makeError = (code: string, syscall: string) =>
    new Error("the call failed", { cause: Object.assign(new Error(code), { code, syscall }) });
  expect(isConnectionRefused(makeError("ECONNREFUSED", "connect"), address)).toBe(true);
  for (const code of ["ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET", "EADDRNOTAVAIL"])
    expect(isConnectionRefused(makeError(code, "connect"), address)).toBe(false);
  expect(isConnectionRefused(makeError("ECONNREFUSED", "getaddrinfo"), address)).toBe(false);
  expect(isConnectionRefused(undefined, address)).toBe(false);
});
