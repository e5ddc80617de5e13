import { createServer } from "node:net";

/** The address that all processes of a system listen on. */
export const host = "127.0.0.1";

// Below the kernel's ephemeral port range: a free port in that range may be assigned to an outgoing
// connection before the program listens on it, and the program would exit.
const firstPort = 10_000;
const portCount = 20_000;
const offsetPerProcess = 97;

let offset = (process.pid * offsetPerProcess) % portCount;

/** Finds a loopback port that is not in use; each call returns another one. */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < portCount; tries += 1) {
    offset = (offset + 1) % portCount;
    if (await canListen(firstPort + offset)) return firstPort + offset;
  }
  throw new Error(`no port between ${firstPort} and ${firstPort + portCount - 1} is free`);
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
