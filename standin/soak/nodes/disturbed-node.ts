import { Server, Socket } from "node:net";
import type { Disturbance } from "./disturbance.js";
import { DisturbedDirection, LinkDisturbances } from "./disturbed-link.js";

/*
 * Loaded into each node before its program (`--import`), and driven by messages of the process that started it. It cuts
 * the node's connections as a network would, which nothing outside the process can do on loopback: what is cut off
 * stays open and silent. A connection that the node closes meanwhile is closed at once for the other end too.
 */

interface DisturbedSocket {
  readonly inbound: DisturbedDirection;
  readonly outbound: DisturbedDirection;
}

type Method = (this: Socket, ...args: unknown[]) => unknown;

const pollMs = 5;
const disturbances = new LinkDisturbances();
const sockets = new Map<Socket, DisturbedSocket>();
const getNow = Date.now.bind(Date);
let clockOffsetMs = 0;

Date.now = () => getNow() + clockOffsetMs;
process.on("message", (disturbance: Disturbance) => {
  apply(disturbance);
});
// The program ends by itself when it has nothing left to do.
process.channel?.unref();
setInterval(passDue, pollMs).unref();

replaceMethod(Socket.prototype, "connect", (original) => {
  return function connectDisturbed(this: Socket, ...args: unknown[]): unknown {
    const { outbound } = track(this, findPort(args));
    if (!outbound.isHeld) return original.apply(this, args);
    Reflect.set(this, "connecting", true);
    outbound.pass(() => this.destroyed || original.apply(this, args));
    return this;
  };
});
replaceMethod(Socket.prototype, "push", (original) => {
  return function pushDisturbed(this: Socket, ...args: unknown[]): unknown {
    const link = sockets.get(this);
    if (link === undefined) return original.apply(this, args);
    link.inbound.pass(() => this.destroyed || original.apply(this, args));
    return true;
  };
});
for (const name of ["_writeGeneric", "_final"]) {
  replaceMethod(Socket.prototype, name, (original) => {
    return function sendDisturbed(this: Socket, ...args: unknown[]): unknown {
      const link = sockets.get(this);
      if (link === undefined) return original.apply(this, args);
      link.outbound.pass(() => this.destroyed || original.apply(this, args));
      return undefined;
    };
  });
}
replaceMethod(Server.prototype, "emit", (original) => {
  return function emitTracked(this: Socket, ...args: unknown[]): unknown {
    const [event, socket] = args;
    if (event === "connection" && socket instanceof Socket) trackAccepted(socket);
    return original.apply(this, args);
  };
});

function replaceMethod(prototype: object, name: string, wrap: (original: Method) => Method): void {
  Reflect.set(prototype, name, wrap(Reflect.get(prototype, name) as Method));
}

function track(socket: Socket, port: number): DisturbedSocket {
  const link = {
    inbound: new DisturbedDirection(port, "in", disturbances),
    outbound: new DisturbedDirection(port, "out", disturbances),
  };
  sockets.set(socket, link);
  socket.once("close", () => sockets.delete(socket));
  return link;
}

function trackAccepted(socket: Socket): void {
  track(socket, socket.localPort ?? 0);
  // Otherwise the HTTP server reads from the handle itself, past `push`.
  const handle = Reflect.get(socket, "_handle") as object | null;
  if (handle !== null) Reflect.set(handle, "_consumed", true);
}

/** The functions of `node:net` pass an array of options and callback. */
function findPort([first]: readonly unknown[]): number {
  const options: unknown = Array.isArray(first) ? first[0] : first;
  if (typeof options !== "object" || options === null || !("port" in options)) return 0;
  return Number(options.port);
}

function passDue(): void {
  for (const { inbound, outbound } of sockets.values()) {
    outbound.passDue();
    inbound.passDue();
  }
}

function apply(disturbance: Disturbance): void {
  switch (disturbance.type) {
    case "holdLinks": {
      const { ports, direction } = disturbance;
      const cut = { ports: new Set(ports), direction };
      disturbances.add(cut);
      setTimeout(() => disturbances.remove(cut), disturbance.forMs).unref();
      return;
    }
    case "loseLinks":
      disturbances.lossShare = disturbance.share;
      setTimeout(() => (disturbances.lossShare = 0), disturbance.forMs).unref();
      return;
    case "resetLinks":
      for (const [socket] of pickShare(disturbance.share)) socket.resetAndDestroy();
      return;
    case "stallLinks":
      for (const [, { inbound, outbound }] of pickShare(disturbance.share)) {
        inbound.isStalled = true;
        outbound.isStalled = true;
      }
      return;
    case "stepClock":
      clockOffsetMs += disturbance.ms;
      setTimeout(() => (clockOffsetMs -= disturbance.ms), disturbance.forMs).unref();
  }
}

function pickShare(share: number): readonly (readonly [Socket, DisturbedSocket])[] {
  return [...sockets].filter(([socket]) => !socket.connecting && Math.random() < share);
}
