import type { Vm } from "../model/index.js";

/**
 * Chooses a group's owner by rendezvous hashing: the live VM with the highest score for the group.
 * When a VM joins or leaves, only the groups that it gains or loses change owner. `undefined` without
 * a live VM.
 */
export function chooseOwner(group: string, vms: readonly Vm[]): Vm | undefined {
  let best: Vm | undefined;
  let bestScore = -1;
  for (const vm of vms) {
    if (vm.state !== "live") continue;
    const score = hashPair(group, vm.name);
    const hasWonTie = score === bestScore && best !== undefined && vm.name < best.name;
    if (score > bestScore || hasWonTie) [best, bestScore] = [vm, score];
  }
  return best;
}

/** Orders the live VMs by score for a group: each becomes the owner if all before it are gone. */
export function orderOwners(group: string, vms: readonly Vm[]): readonly Vm[] {
  return vms
    .filter((vm) => vm.state === "live")
    .map((vm) => ({ vm, score: hashPair(group, vm.name) }))
    .sort((a, b) => b.score - a.score || (a.vm.name < b.vm.name ? -1 : 1))
    .map(({ vm }) => vm);
}

const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;

/**
 * Hashes two names to 32 bits: FNV-1a over both and a separator, then the finalizer of MurmurHash3,
 * which spreads similar names evenly.
 */
export function hashPair(group: string, vm: string): number {
  return finalizeHash(hashText(Math.imul(hashText(offsetBasis, group) ^ 0x1f, prime), vm));
}

function hashText(hash: number, text: string): number {
  let next = hash;
  for (let i = 0; i < text.length; i++) next = Math.imul(next ^ text.charCodeAt(i), prime);
  return next;
}

function finalizeHash(hash: number): number {
  let next = hash ^ (hash >>> 16);
  next = Math.imul(next, 0x85ebca6b);
  next ^= next >>> 13;
  next = Math.imul(next, 0xc2b2ae35);
  return (next ^ (next >>> 16)) >>> 0;
}
