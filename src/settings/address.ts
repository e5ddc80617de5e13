import { isIP } from "node:net";
import type { Address } from "../model/index.js";

const maxPort = 65535;

/** Parses `IP:port` or `[IPv6]:port`; returns `undefined` if the text is neither. */
export function parseAddress(text: string): Address | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d+)$/.exec(text);
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || isIP(host) === 0 || !(port <= maxPort)) return undefined;
  return { host, port };
}

/** Formats an address in the notation that `parseAddress` accepts. */
export function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
