import type { Address, Vm } from "../model/index.js";
import { formatAddress } from "../settings/index.js";
import type { CommandContext } from "./context.js";
import { UnavailableError } from "./errors.js";

/** A proxy and its health address. */
export interface ProxyEndpoint {
  /** The VM's name, or the address if it was given by `--proxy`. */
  readonly name: string;
  readonly health: Address;
}

/** Lists the proxies given by `--proxy`, or else those of the platform's list of VMs. */
export async function listProxyEndpoints(
  context: CommandContext,
): Promise<readonly ProxyEndpoint[]> {
  if (context.givenProxies.length > 0) {
    return context.givenProxies.map((health) => ({ name: formatAddress(health), health }));
  }
  const read = await context.store.listVms();
  if (read.type !== "found") {
    throw new UnavailableError("the platform's list of VMs can't be read; use --proxy IP:PORT");
  }
  return read.value.map((vm) => toProxyEndpoint(context, vm));
}

function toProxyEndpoint({ healthPortOffset }: CommandContext, { name, peer }: Vm): ProxyEndpoint {
  return { name, health: { host: peer.host, port: peer.port + healthPortOffset } };
}
