import type { Vm } from "../model/index.js";
import { hashPair } from "../policy/index.js";

interface RankedVm {
  readonly name: string;
  readonly score: number;
}

/** The VMs with the highest scores, the owner first; fewer than two if fewer are live. */
type OwnerPair = readonly RankedVm[];

const ownersPerGroup = 2;

/**
 * Caches the owner and the next owner of each group that was looked up: the first two VMs of
 * `orderOwners`. Sorting thousands of VMs for each request, or for every group when a VM joins or
 * leaves, would use most of a CPU core. Instead, a VM that joins is compared with the two cached
 * ones, and one that leaves only invalidates the groups that it is cached for.
 */
export class OwnerTable {
  private live: readonly Vm[] = [];
  private vms: ReadonlyMap<string, Vm> = new Map();
  private readonly pairs = new Map<string, OwnerPair>();

  constructor(private readonly listLive: () => readonly Vm[]) {}

  /** Returns the owner of a group and the next owner; fewer if fewer VMs are live. */
  findOwners(group: string): readonly Vm[] {
    this.applyLiveChanges();
    const cached = this.pairs.get(group);
    const pair = cached ?? rankVms(group, this.live);
    if (cached === undefined) this.pairs.set(group, pair);
    return pair.flatMap(({ name }) => this.vms.get(name) ?? []);
  }

  /** Updates the cache if the live VMs changed: `listLive` returns the same array until they do. */
  private applyLiveChanges(): void {
    const live = this.listLive();
    if (live === this.live) return;
    const previous = this.vms;
    const vms = new Map(live.map((vm) => [vm.name, vm]));
    const joined = live.filter(({ name }) => !previous.has(name));
    this.live = live;
    this.vms = vms;
    for (const [group, pair] of this.pairs) {
      const hasDeparted = pair.some(({ name }) => !vms.has(name));
      if (hasDeparted) this.pairs.delete(group);
      else if (joined.length > 0) this.pairs.set(group, insertVms(group, pair, joined));
    }
  }
}

function rankVms(group: string, vms: readonly Vm[]): OwnerPair {
  return insertVms(group, [], vms);
}

function insertVms(group: string, pair: OwnerPair, vms: readonly Vm[]): OwnerPair {
  let best = pair;
  for (const { name } of vms) {
    const score = hashPair(group, name);
    const last = best[ownersPerGroup - 1];
    if (last !== undefined && score < last.score) continue;
    best = [...best, { name, score }].sort(compareRanked).slice(0, ownersPerGroup);
  }
  return best;
}

function compareRanked(a: RankedVm, b: RankedVm): number {
  return b.score - a.score || (a.name < b.name ? -1 : 1);
}
