import type { RandomStream } from "../random.js";
import type { CutDirection, Disturbance } from "./disturbance.js";
import type { BackendCommand } from "./commands.js";
import type { NodeFault } from "./fault.js";
import {
  createBackendFault,
  listNodes,
  mostNodes,
  oneNode,
  pickNodes,
  thirdOfNodes,
  type FaultDraw,
} from "./fault-draw.js";
import type { SoakSite } from "./site.js";

/** Names of the faults of machines, links, clocks and targets, as the users' pages list them. */
export const machineFaultNames = [
  "power",
  "powerMany",
  "powerAll",
  "killWriter",
  "killHolders",
  "powerAfterChange",
  "replaceNode",
  "drainAll",
  "cutNode",
  "cutNodeOneWay",
  "lossy",
  "resetLinks",
  "stallLinks",
  "clock",
  "shift",
  "dark",
  "primaryCutReplicas",
  "primaryCutStore",
  "primaryCutNodes",
  "releasePrimary",
  "releaseAll",
  "slowTargets",
  "storeRefuse",
  "storeLateWrites",
  "configStorm",
  "bigConfig",
  "isolatePrimary",
  "crashAllButDeaf",
  "oddObjects",
] as const;

/** The name of such a fault. */
export type MachineFaultName = (typeof machineFaultNames)[number];

/** Faults of links and machines that the rig can play only where all links are direct. */
export const singleRegionFaults: ReadonlySet<string> = new Set([
  "replaceNode",
  "cutNode",
  "cutNodeOneWay",
  "primaryCutNodes",
  "releasePrimary",
  "releaseAll",
]);

const longRefusalMs = 9000;
const loss = 0.025;
const clockStepMs = 2400;
const refusalStatuses = [503, 429] as const;
const cutDirections = ["in", "out"] as const;
const lingerFactor = 2;
const holderKillsFactor = 2;
const stormGapsMs = [60, 330] as const;
const largeConfigurationRoutes = 350;

type ReplaceTargets = Extract<BackendCommand, { readonly type: "replaceTargets" }>;

/** Whether a name is that of such a fault. */
export function isMachineFault(name: string): name is MachineFaultName {
  return machineFaultNames.some((known) => known === name);
}

/** Creates a fault of machines, links or clocks. */
export function createMachineFault(
  name: MachineFaultName,
  { random, site, forMs, group }: FaultDraw,
): NodeFault {
  const pick = (share: number) => pickNodes(random, site, share);
  const downMs = random.nextInteger(700, 3500);
  switch (name) {
    case "power":
      return { type: "losePower", nodes: pick(oneNode), downMs };
    case "powerMany":
      return { type: "losePower", nodes: pick(mostNodes), downMs };
    case "powerAll":
      return { type: "losePower", nodes: listNodes(site), downMs: random.nextInteger(700, 1500) };
    case "killHolders":
      return { type: "killHolders", forMs: holderKillsFactor * forMs, downMs };
    case "killWriter":
      return { type: "killWriter", downMs };
    case "powerAfterChange":
      return { type: "losePowerAfterChange", node: pick(oneNode)[0] ?? 0, downMs };
    case "replaceNode":
      return { type: "replaceNode", node: pick(oneNode)[0] ?? 0, afterMs: 2000 };
    case "drainAll":
      return { type: "restartNodes", nodes: listNodes(site), gapMs: 1300, downMs: 1000 };
    case "cutNode":
      return createCut(random, pick(thirdOfNodes / 2), "both", forMs);
    case "cutNodeOneWay":
      return createCut(random, pick(thirdOfNodes / 2), random.pick(cutDirections), forMs);
    case "lossy":
      return createDisturbance(pickZone(random, site), { type: "loseLinks", share: loss, forMs });
    case "resetLinks":
      return createDisturbance(pick(thirdOfNodes), { type: "resetLinks", share: 0.55 });
    case "stallLinks":
      return createDisturbance(pick(thirdOfNodes), { type: "stallLinks", share: 0.55 });
    case "clock": {
      const ms = random.chance(0.5) ? clockStepMs : -clockStepMs;
      return createDisturbance(pick(thirdOfNodes), { type: "stepClock", ms, forMs });
    }
    case "shift": {
      const fromZone = random.pick(site.zones);
      const toZone = random.pick(site.zones);
      return { type: "shiftCallers", fromZone, toZone, share: 0.5, forMs };
    }
    case "dark":
      return createBackendFault({ type: "darkenPrimary", group, forMs });
    case "primaryCutReplicas":
      return createBackendFault({ type: "cutPrimaryFromReplicas", group, forMs });
    case "primaryCutStore":
      return createBackendFault({ type: "cutPrimaryFromStore", group, forMs });
    case "primaryCutNodes": {
      const direction = random.pick(["both", ...cutDirections] as const);
      return { type: "cutFromPrimary", nodes: pick(0.45), group, direction, forMs };
    }
    case "releasePrimary":
      return createRelease({ group, isPrimaryOnly: true, gapMs: 0 }, forMs);
    case "releaseAll":
      return createRelease({ group, isPrimaryOnly: false, gapMs: 1000 }, forMs);
    case "isolatePrimary":
      return createBackendFault({ type: "isolatePrimary", group, forMs });
    case "crashAllButDeaf":
      return createBackendFault({ type: "crashAllButDeaf", group, forMs });
    case "oddObjects":
      return createBackendFault({ type: "writeOddObjects", forMs });
    case "slowTargets":
      return createBackendFault({ type: "slowTargets", group, factor: 5, forMs });
    case "storeRefuse": {
      const status = random.pick(refusalStatuses);
      return createBackendFault({
        type: "refuseNodes",
        nodes: pick(thirdOfNodes),
        status,
        forMs: longRefusalMs,
      });
    }
    case "storeLateWrites":
      return createBackendFault({ type: "loseStoreWrites", share: 0.35, maxDelayMs: 6000, forMs });
    case "configStorm": {
      const gapMs = random.pick(stormGapsMs);
      return createBackendFault({
        type: "changeConfiguration",
        count: Math.round(forMs / 2 / gapMs),
        gapMs,
      });
    }
    case "bigConfig":
      return createBackendFault({
        type: "changeConfiguration",
        addedRoutes: largeConfigurationRoutes,
      });
  }
}

function createCut(
  random: RandomStream,
  nodes: readonly number[],
  direction: CutDirection,
  forMs: number,
): NodeFault {
  const from = random.pick(["nodes", "all"] as const);
  return { type: "cutNodes", nodes, from, direction, forMs };
}

/** A release whose targets serve for many seconds after their drain timeout. */
function createRelease(
  release: Pick<ReplaceTargets, "group" | "isPrimaryOnly" | "gapMs">,
  forMs: number,
): NodeFault {
  const lingerMs = lingerFactor * forMs;
  return createBackendFault({ type: "replaceTargets", ...release, lingerMs });
}

function createDisturbance(nodes: readonly number[], disturbance: Disturbance): NodeFault {
  return { type: "disturbNodes", nodes, disturbance };
}

/** The nodes of one zone. */
function pickZone(random: RandomStream, site: SoakSite): readonly number[] {
  const zone = random.nextInteger(0, site.nodesPerZone.length - 1);
  const first = site.nodesPerZone.slice(0, zone).reduce((sum, nodes) => sum + nodes, 0);
  return Array.from({ length: site.nodesPerZone[zone] ?? 0 }, (_, index) => first + index);
}
