import type { Address, Vm } from "../model/index.js";
import { formatAddress } from "../settings/index.js";
import type { CommandContext } from "./context.js";
import { UnavailableError } from "./errors.js";

/** A proxy that a command looks at. */
export interface Place {
  /** The VM's name, or the address where only that was given. */
  readonly name: string;
  readonly health: Address;
}

/** Finds the proxies: those that were given, else those of the platform's list. */
export async function findPlaces(context: CommandContext): Promise<readonly Place[]> {
  if (context.given.length > 0) {
    return context.given.map((health) => ({ name: formatAddress(health), health }));
  }
  const read = await context.store.listVms();
  if (read.type !== "found") {
    throw new UnavailableError("the platform's list of VMs can't be read; give --proxy HOST:PORT");
  }
  return read.value.map((vm) => findPlace(context, vm));
}

function findPlace({ healthOffset }: CommandContext, { name, peer }: Vm): Place {
  return { name, health: { host: peer.host, port: peer.port + healthOffset } };
}
