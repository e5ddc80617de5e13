import { hashPair } from "../../policy/index.js";
import type { MembershipState } from "./state.js";

/** Up to so many VMs, each probes all others. */
const maxFullProbeFleet = 16;

/**
 * Builds the round of VMs to probe. In a large fleet these are the VMs 1, 2, 4, 8 ... places on in
 * the order of hashes: every VM has the same number of others that probe it, news needs about
 * log2(n) hops, and the connections that probes go over stay open. Probing all in turn would open
 * one each second, whose handshakes alone cost more than the bytes that control may take.
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
