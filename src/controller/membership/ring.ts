import { hashPair } from "../../policy/index.js";
import type { MembershipState } from "./state.js";

/** Up to so many VMs, each probes all others. */
const smallFleet = 16;

/**
 * Builds the round of VMs to probe. In a large fleet these are the VMs 1, 2, 4, 8 ... places on in
 * the order of hashes: every VM has the same number of others that probe it, news needs about
 * log2(n) hops, and the connections that probes go over stay open. Probing all in turn would open
 * one each second, whose handshakes alone cost more than the bytes that control may take.
 */
export function buildRing({ self, members, ticks }: MembershipState): readonly string[] {
  const names = [...members.values()]
    .filter(({ status }) => status !== "down")
    .map(({ vm }) => vm.name);
  const wanted = names.length <= smallFleet ? names : pickFingers(self.vm.name, names);
  return orderByHash(wanted, `${self.vm.name}/${ticks}`);
}

function pickFingers(self: string, names: readonly string[]): readonly string[] {
  const circle = orderByHash([self, ...names], "circle");
  const at = circle.indexOf(self);
  const fingers: string[] = [];
  for (let distance = 1; distance < circle.length; distance *= 2) {
    fingers.push(circle[(at + distance) % circle.length] ?? self);
  }
  return fingers;
}

function orderByHash(names: readonly string[], salt: string): readonly string[] {
  return names
    .map((name) => ({ name, hash: hashPair(salt, name) }))
    .sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
