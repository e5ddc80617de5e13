import type { Group, Vm } from "../../src/model/index.js";
import { OwnerTable } from "../../src/fleet/index.js";
import { chooseOwner, orderOwners } from "../../src/policy/index.js";
import { buildVms } from "./build.js";
import { countBytes, measureMicros, type Sample } from "./measure.js";

/** Measures choosing owners by the number of VMs; a tenth more groups than VMs, as in letter 1. */
export function measureOwners(sizes: readonly number[]): readonly Sample[] {
  return sizes.flatMap((size) => {
    const vms = buildVms(size);
    const groups = Array.from({ length: Math.round((size * 4600) / 3800) }, (_, i) => `group-${i}`);
    const sample = (what: string, value: number, unit: string): Sample => ({
      role: "entry and owner",
      what,
      size,
      value,
      unit,
    });
    return [
      sample(
        "owner of one group",
        measureMicros(() => chooseOwner("group-1", vms)),
        "µs",
      ),
      sample(
        "order of owners of one group",
        measureMicros(() => orderOwners("group-1", vms)),
        "µs",
      ),
      sample(
        "order of owners of every group",
        measureMicros(() => {
          for (const group of groups) orderOwners(group, vms);
        }),
        "µs",
      ),
      sample("kept owner of one group", measureMicros(makeFind(vms)), "µs"),
      sample("every kept owner, a VM gone and back", measureMicros(makeChurn(vms, groups)), "µs"),
      sample("list of groups", countBytes(groups.map(buildGroup)), "bytes of JSON"),
    ];
  });
}

function makeFind(vms: readonly Vm[]): () => void {
  const table = new OwnerTable(() => vms);
  return () => {
    table.findOwners("group-1");
  };
}

/** One VM goes and comes back, and every group's owner is asked for after each. */
function makeChurn(vms: readonly Vm[], groups: readonly string[]): () => void {
  let live = vms;
  const table = new OwnerTable(() => live);
  const findAll = () => {
    for (const group of groups) table.findOwners(group);
  };
  return () => {
    live = vms.slice(1);
    findAll();
    live = [...vms];
    findAll();
  };
}

function buildGroup(name: string): Group {
  const targets = ["a", "b", "c"].map((suffix, i) => ({
    name: `${name}-${suffix}`,
    dataCentre: `region-1-dc-${i}`,
    address: { host: "10.200.100.50", port: 5432 },
    slots: 5,
    connections: 55,
  }));
  return { name, targets };
}
