import { createServer } from "node:net";

/** The address that every process of a system listens on. */
export const host = "127.0.0.1";

/** Finds a port of loopback that nobody listens on now. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  if (typeof address !== "object" || address === null) throw new Error("no port is free");
  return address.port;
}
