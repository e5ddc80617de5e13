import { createServer } from "node:net";

/** The address that every process of a system listens on. */
export const host = "127.0.0.1";

// Below the ports that the kernel gives to outgoing connections: one that was free a moment ago
// may be such a connection's when the program comes to listen on it, and the program would end.
const firstPort = 10_000;
const portCount = 20_000;
const step = 97;

let next = (process.pid * step) % portCount;

/** Finds a port of loopback that nobody listens on now, another one with each call. */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < portCount; tries += 1) {
    next = (next + 1) % portCount;
    if (await canListen(firstPort + next)) return firstPort + next;
  }
  throw new Error("no port is free");
}

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
