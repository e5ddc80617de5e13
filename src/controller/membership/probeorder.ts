import { hashPair } from "../../policy/index.js";
import type { MembershipState } from "./state.js";

/** In a fleet of up to this many VMs, each VM probes all others. */
const maxFullProbeFleet = 16;

/**
 * Builds the next round of VMs to probe, as names. In a large fleet these are the VMs at distances
 * 1, 2, 4, 8 and so on in the order of hashes, as in a Chord ring. Every VM is then probed by the
 * same number of others, news needs about log2(n) hops, and the connections of the probes stay
 * open. Probing all VMs in turn would open a connection each second, and the handshakes alone would
 * exceed the bandwidth allowed for control traffic.
 */
export function buildProbeOrder({ self, members, ticks }: MembershipState): readonly string[] {
  const names = [...members.values()]
    .filter(({ status }) => status !== "down")
    .map(({ vm }) => vm.name);
  const probed =
    names.length <= maxFullProbeFleet ? names : pickByDoublingDistance(self.vm.name, names);
  return orderByHash(probed, `${self.vm.name}/${ticks}`);
}

function pickByDoublingDistance(self: string, names: readonly string[]): readonly string[] {
  const hashOrder = orderByHash([self, ...names], "circle");
  const ownIndex = hashOrder.indexOf(self);
  const probed: string[] = [];
  for (let distance = 1; distance < hashOrder.length; distance *= 2) {
    probed.push(hashOrder[(ownIndex + distance) % hashOrder.length] ?? self);
  }
  return probed;
}

function orderByHash(names: readonly string[], salt: string): readonly string[] {
  return names
    .map((name) => ({ name, hash: hashPair(salt, name) }))
    .sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
