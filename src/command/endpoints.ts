import type { Address, Vm } from "../model/index.js";
import { formatAddress } from "../settings/index.js";
import type { CommandContext } from "./context.js";
import { UnavailableError } from "./errors.js";

/** A proxy that a command looks at. */
export interface ProxyEndpoint {
  /** The VM's name, or the address where only that was given. */
  readonly name: string;
  readonly health: Address;
}

/** Finds the proxies: those that were given, else those of the platform's list. */
export async function listProxyEndpoints(
  context: CommandContext,
): Promise<readonly ProxyEndpoint[]> {
  if (context.givenProxies.length > 0) {
    return context.givenProxies.map((health) => ({ name: formatAddress(health), health }));
  }
  const read = await context.store.listVms();
  if (read.type !== "found") {
    throw new UnavailableError("the platform's list of VMs can't be read; give --proxy HOST:PORT");
  }
  return read.value.map((vm) => toProxyEndpoint(context, vm));
}

function toProxyEndpoint({ healthOffset }: CommandContext, { name, peer }: Vm): ProxyEndpoint {
  return { name, health: { host: peer.host, port: peer.port + healthOffset } };
}
