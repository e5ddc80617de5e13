import type { Vm } from "../../model/index.js";
import { hashPair } from "../../policy/index.js";

/** The shape of the trees. */
export interface TreeOptions {
  /** VMs of each data centre that watch the store; each is the root of a tree over its local. */
  readonly relaysPerDataCentre: number;
  readonly fanout: number;
}

/** Two relays, so that one may be down or cut off; ten children, so that 1,000 VMs are 3 deep. */
export const defaultTreeOptions: TreeOptions = { relaysPerDataCentre: 2, fanout: 10 };

/** Chooses the VMs that watch the store: by rendezvous hashing, the same on all that agree on `vms`. */
export function chooseRelays(
  vms: readonly Vm[],
  { relaysPerDataCentre }: Pick<TreeOptions, "relaysPerDataCentre"> = defaultTreeOptions,
): readonly Vm[] {
  const dataCentres = [...new Set(vms.map(({ dataCentre }) => dataCentre))];
  return dataCentres.flatMap((dataCentre) =>
    rankRelays(vms.filter((vm) => vm.dataCentre === dataCentre)).slice(0, relaysPerDataCentre),
  );
}

/** Whether `self` is one of its data centre's relays. Looks at that data centre only. */
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
 * Lists the VMs that `self` passes a new revision on to: its children in the trees of its data
 * centre, one tree for each relay. A dead VM inside one tree is a leaf of another or a rare gap that
 * the next peer message closes.
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
