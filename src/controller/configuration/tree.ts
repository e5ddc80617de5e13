import type { Vm } from "../../model/index.js";
import { hashPair } from "../../policy/index.js";

/** The shape of the trees along which a new revision is distributed. */
export interface TreeOptions {
  /**
   * VMs in each data centre that watch the store. Each is the root of a tree over that data centre.
   */
  readonly relaysPerDataCentre: number;
  /** Children of each VM in a tree. */
  readonly fanout: number;
}

/** Two relays, so that one may be down or cut off; ten children, so that 1,000 VMs are 3 deep. */
export const defaultTreeOptions: TreeOptions = { relaysPerDataCentre: 2, fanout: 10 };

/**
 * Chooses the VMs that watch the store, by rendezvous hashing. All VMs that agree on `vms` choose
 * the same relays.
 */
export function chooseRelays(
  vms: readonly Vm[],
  { relaysPerDataCentre }: Pick<TreeOptions, "relaysPerDataCentre"> = defaultTreeOptions,
): readonly Vm[] {
  const dataCentres = [...new Set(vms.map(({ dataCentre }) => dataCentre))];
  return dataCentres.flatMap((dataCentre) =>
    rankRelays(vms.filter((vm) => vm.dataCentre === dataCentre)).slice(0, relaysPerDataCentre),
  );
}

/** Whether `self` is a relay of its data centre. VMs of other data centres have no influence. */
export function isRelay(
  self: string,
  vms: readonly Vm[],
  { relaysPerDataCentre }: Pick<TreeOptions, "relaysPerDataCentre"> = defaultTreeOptions,
): boolean {
  const dataCentre = vms.find(({ name }) => name === self)?.dataCentre;
  const local = vms.filter((vm) => vm.dataCentre === dataCentre);
  return rankRelays(local)
    .slice(0, relaysPerDataCentre)
    .some(({ name }) => name === self);
}

function rankRelays(vms: readonly Vm[]): readonly Vm[] {
  return orderByHash(vms, "relay");
}

/**
 * Lists the VMs that `self` relays a new revision to: its children in the trees of its data centre,
 * one tree for each relay. A failed VM that has children in one tree is usually a leaf in another.
 * In the rare case that it is not, its children learn of the revision from the next message of any
 * peer.
 */
export function listChildren(
  self: string,
  vms: readonly Vm[],
  options: TreeOptions = defaultTreeOptions,
): readonly Vm[] {
  const dataCentre = vms.find(({ name }) => name === self)?.dataCentre;
  const local = vms.filter((vm) => vm.dataCentre === dataCentre);
  const roots = rankRelays(local).slice(0, options.relaysPerDataCentre);
  const children = roots.flatMap((root) => listTreeChildren(self, local, root, options.fanout));
  return [...new Map(children.map((vm) => [vm.name, vm])).values()];
}

function listTreeChildren(
  self: string,
  local: readonly Vm[],
  root: Vm,
  fanout: number,
): readonly Vm[] {
  const rest = local.filter(({ name }) => name !== root.name);
  const order = [root, ...orderByHash(rest, root.name)];
  const index = order.findIndex(({ name }) => name === self);
  return order.slice(index * fanout + 1, (index + 1) * fanout + 1);
}

function orderByHash(vms: readonly Vm[], salt: string): readonly Vm[] {
  return vms
    .map((vm) => ({ vm, hash: hashPair(salt, vm.name) }))
    .sort((a, b) => a.hash - b.hash || (a.vm.name < b.vm.name ? -1 : 1))
    .map(({ vm }) => vm);
}
