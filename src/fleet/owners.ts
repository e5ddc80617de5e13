import type { Vm } from "../model/index.js";
import { hashPair } from "../policy/index.js";

interface RankedVm {
  readonly name: string;
  readonly score: number;
}

/** The two VMs with the highest scores, the owner first; fewer where fewer live. */
type OwnerPair = readonly RankedVm[];

const ownersPerGroup = 2;

/**
 * Keeps the owner of each group that was asked for, and who would own it next: the first two of
 * `orderOwners`. Ordering thousands of VMs for each request, or for every group when one VM comes or
 * goes, would take most of a core; here one that comes is compared with the two that are kept, and
 * one that goes concerns only the groups it is kept for.
 */
export class OwnerTable {
  private live: readonly Vm[] = [];
  private vms: ReadonlyMap<string, Vm> = new Map();
  private readonly pairs = new Map<string, OwnerPair>();

  constructor(private readonly listLive: () => readonly Vm[]) {}

  /** The owner of a group and the next one, where there are such. */
  findOwners(group: string): readonly Vm[] {
    this.applyLiveChanges();
    const known = this.pairs.get(group);
    const pair = known ?? rankVms(group, this.live);
    if (known === undefined) this.pairs.set(group, pair);
    return pair.flatMap(({ name }) => this.vms.get(name) ?? []);
  }

  /** Takes changes of the live VMs over. The list keeps its identity while nobody comes or goes. */
  private applyLiveChanges(): void {
    const live = this.listLive();
    if (live === this.live) return;
    const before = this.vms;
    const vms = new Map(live.map((vm) => [vm.name, vm]));
    const joined = live.filter(({ name }) => !before.has(name));
    this.live = live;
    this.vms = vms;
    for (const [group, pair] of this.pairs) {
      const isBroken = pair.some(({ name }) => !vms.has(name));
      if (isBroken) this.pairs.delete(group);
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
