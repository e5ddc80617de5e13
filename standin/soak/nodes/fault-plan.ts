import { createRandomStream, type RandomStream } from "../random.js";
import type { NodeFault, TimedFault } from "./fault.js";
import {
  createBackendFault,
  listNodes,
  mostNodes,
  oneNode,
  pickNodes,
  thirdOfNodes,
  type FaultDraw,
} from "./fault-draw.js";
import {
  createMachineFault,
  isMachineFault,
  machineFaultNames,
  singleRegionFaults,
} from "./machine-faults.js";
import { listRegions, type SoakSite } from "./site.js";

const processFaultNames = [
  "kill",
  "killMany",
  "killAll",
  "killMostAndPrimary",
  "restart",
  "freeze",
  "reload",
  "busy",
  "storeBusy",
  "storeSlow",
  "storeLost",
  "storeCut",
  "storeReset",
  "crash",
  "silence",
  "lostAnswers",
  "deafReplica",
  "config",
  "regionCut",
  "replicasLag",
  "kindBurst",
] as const;

type ProcessFaultName = (typeof processFaultNames)[number];

/** Names of the faults that can be selected for a run. */
export const nodeFaultNames = [...processFaultNames, ...machineFaultNames] as const;

/** The name of a fault that can be selected for a run. */
export type NodeFaultName = (typeof nodeFaultNames)[number];

/** The names of the faults that a site can have: only one with several regions has links between them. */
export function listFaultNames(site: SoakSite): readonly NodeFaultName[] {
  const hasRegions = listRegions(site).length > 1;
  return nodeFaultNames.filter((name) =>
    hasRegions ? !singleRegionFaults.has(name) : name !== "regionCut",
  );
}

const firstFaultMs = 3000;
/** No fault starts in the last part of a run, so that its end shows whether everything recovered. */
const calmEndMs = 10_000;
const allReplicasProbability = 0.5;
const silentProbability = 0.25;
const maxBurstFactor = 6;
const longLossMs = 15_000;

/** Plans the faults of a run: equal arguments give equal plans. They may overlap. */
export function planFaults(
  seed: number,
  site: SoakSite,
  durationMs: number,
  names: readonly NodeFaultName[],
  count: number,
): readonly TimedFault[] {
  const random = createRandomStream(seed, 0);
  const lastMs = Math.max(firstFaultMs, durationMs - calmEndMs);
  const planned = Array.from({ length: names.length === 0 ? 0 : count }, () => ({
    atMs: random.nextInteger(firstFaultMs, lastMs),
    fault: createFault(random.pick(names), random, site),
  }));
  return planned.sort((a, b) => a.atMs - b.atMs);
}

function createFault(name: NodeFaultName, random: RandomStream, site: SoakSite): NodeFault {
  const forMs = random.nextInteger(2000, 7000);
  const group = random.nextInteger(0, site.groups - 1);
  const draw = { random, site, forMs, group };
  return isMachineFault(name) ? createMachineFault(name, draw) : createProcessFault(name, draw);
}

function createProcessFault(
  name: ProcessFaultName,
  { random, site, forMs, group }: FaultDraw,
): NodeFault {
  const pick = (share: number) => pickNodes(random, site, share);
  switch (name) {
    case "kill":
      return { type: "killNodes", nodes: pick(oneNode), downMs: random.nextInteger(300, 3500) };
    case "killMany":
      return { type: "killNodes", nodes: pick(mostNodes), downMs: random.nextInteger(300, 2000) };
    case "killAll":
      return { type: "killNodes", nodes: listNodes(site), downMs: random.nextInteger(300, 2000) };
    case "killMostAndPrimary":
      return { type: "killNodesAndPrimary", nodes: pick(mostNodes), group, forMs: longLossMs };
    case "restart":
      return {
        type: "restartNodes",
        nodes: pick(random.nextInteger(1, 3) * thirdOfNodes),
        gapMs: random.nextInteger(500, 2000),
        downMs: random.nextInteger(300, 1500),
      };
    case "freeze":
      return { type: "freezeNodes", nodes: pick(thirdOfNodes / 2), forMs };
    case "reload":
      return { type: "reloadNodes" };
    case "busy":
      return { type: "busyProcessor", processes: random.nextInteger(4, 16), forMs };
    case "storeBusy":
      return createBackendFault({ type: "storeBusy", forMs });
    case "storeSlow":
      return createBackendFault({ type: "storeSlow", ms: random.nextInteger(40, 400), forMs });
    case "storeLost":
      return createBackendFault({ type: "loseStoreAnswers", count: random.nextInteger(1, 20) });
    case "storeCut":
      return createBackendFault({ type: "cutStore", nodes: pick(thirdOfNodes), forMs });
    case "storeReset":
      return createBackendFault({ type: "resetStore", nodes: pick(thirdOfNodes), forMs });
    case "crash":
      return createBackendFault({ type: "crashPrimary", group, forMs });
    case "silence":
      return createBackendFault({ type: "silencePrimary", group, forMs });
    case "lostAnswers":
      return createBackendFault({ type: "losePrimaryAnswers", group, forMs });
    case "deafReplica":
      return createBackendFault({ type: "lagReplicas", group, isAll: false, forMs });
    case "config":
      return createBackendFault({ type: "changeConfiguration" });
    case "replicasLag": {
      const isAll = random.chance(allReplicasProbability);
      const lag = random.chance(silentProbability) ? {} : { lagMs: random.nextInteger(1000, 4000) };
      return createBackendFault({ type: "lagReplicas", group, isAll, ...lag, forMs });
    }
    case "kindBurst": {
      const { name: kind } = random.pick(site.kinds);
      return { type: "burstKind", kind, factor: random.nextInteger(2, maxBurstFactor), forMs };
    }
    case "regionCut":
      return { type: "cutRegions", regions: pickRegions(random, site), forMs };
  }
}

function pickRegions(random: RandomStream, site: SoakSite): readonly [string, string] {
  const regions = listRegions(site);
  const first = random.pick(regions);
  return [first, random.pick(regions.filter((region) => region !== first))];
}
