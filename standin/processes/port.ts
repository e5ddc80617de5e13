import { createServer, type Server } from "node:net";

/** The address that all processes of a system listen on. */
export const host = "127.0.0.1";

// Below the kernel's ephemeral port range: a free port in that range may be assigned to an outgoing
// connection before the program listens on it, and the program would exit.
const firstPort = 10_000;
const portCount = 20_000;
const blockSize = 80;
const blockCount = portCount / blockSize;

let nextBlock = process.pid % blockCount;
let nextPort = 0;
let blockEnd = 0;

/**
 * Finds a loopback port that is not in use; each call returns another one. It is in a block that only this process uses
 * while it runs: a program listens on its port a while after it was found, and another process could take it meanwhile.
 */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < portCount; tries += 1) {
    if (nextPort === blockEnd) await claimBlock();
    const port = nextPort;
    nextPort += 1;
    if (await canListen(port)) return port;
  }
  throw new Error(`no port between ${firstPort} and ${firstPort + portCount - 1} is free`);
}

/** Claims a block of ports by listening on its first one for as long as this process runs. */
async function claimBlock(): Promise<void> {
  for (let tries = 0; tries < blockCount; tries += 1) {
    const claim = firstPort + nextBlock * blockSize;
    nextBlock = (nextBlock + 1) % blockCount;
    const server = await listen(claim);
    if (server === undefined) continue;
    server.unref();
    nextPort = claim + 1;
    blockEnd = claim + blockSize;
    return;
  }
  throw new Error(`all ${blockCount} blocks of ports are in use`);
}

async function canListen(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
  });
}
