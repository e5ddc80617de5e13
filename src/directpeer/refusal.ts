import { BlockList, isIP } from "node:net";
import type { Address } from "../model/index.js";

/** Connections to these addresses reach the machine of this process, wherever the peer runs. */
const unspecified = new BlockList();
unspecified.addAddress("0.0.0.0", "ipv4");
unspecified.addAddress("::", "ipv6");

/**
 * Whether a call failed because the peer's machine refused the connection. A connection that broke later, a timeout
 * or an unreachable network says nothing about the peer's process. Nor does a refusal at an address that is a name:
 * the name may resolve to another machine than the one on which the process runs. Nor does one at the unspecified
 * address, which always leads to this machine.
 */
export function isConnectionRefused(error: unknown, { host }: Address): boolean {
  return isSpecifiedAddress(host) && listCauses(error).some(isRefusedConnect);
}

/** Whether a host is an IP address other than the unspecified one. */
function isSpecifiedAddress(host: string): boolean {
  const version = isIP(host);
  return version !== 0 && !unspecified.check(host, version === 6 ? "ipv6" : "ipv4");
}

interface ErrorFields {
  readonly code?: unknown;
  readonly syscall?: unknown;
  readonly cause?: unknown;
}

/** The error and its causes, the outermost first. */
function listCauses(error: unknown): readonly ErrorFields[] {
  const causes: ErrorFields[] = [];
  let next = error;
  while (isObject(next) && !causes.includes(next)) {
    causes.push(next);
    next = next.cause;
  }
  return causes;
}

function isObject(value: unknown): value is ErrorFields {
  return typeof value === "object" && value !== null;
}

function isRefusedConnect({ code, syscall }: ErrorFields): boolean {
  return code === "ECONNREFUSED" && syscall === "connect";
}
