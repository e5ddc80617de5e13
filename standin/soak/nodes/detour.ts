import { Socket } from "node:net";
import type { Detours } from "./region-network.js";

/*
 * Loaded into each node before its program (`--import`). Connections to ports of other regions go to the relays
 * instead. All processes listen on one loopback address and tell each other their own ports, so that a relay could
 * not be advertised to one region only.
 */

const detours = JSON.parse(process.env.SOAK_DETOURS ?? "{}") as Detours;
const original = Reflect.get(Socket.prototype, "connect") as (
  this: Socket,
  ...args: unknown[]
) => Socket;

Reflect.set(
  Socket.prototype,
  "connect",
  function connectThroughRelay(this: Socket, ...args: unknown[]): Socket {
    const [first] = args;
    // The functions of `node:net` pass an array of options and callback, which they have marked as such.
    if (Array.isArray(first)) first[0] = redirect(first[0]);
    return original.apply(this, Array.isArray(first) ? args : [redirect(first), ...args.slice(1)]);
  },
);

function redirect(options: unknown): unknown {
  if (typeof options !== "object" || options === null || !("port" in options)) return options;
  const port = detours[String(options.port)];
  return port === undefined ? options : { ...options, port };
}
