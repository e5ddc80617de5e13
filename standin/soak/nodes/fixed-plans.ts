import type { BackendCommand } from "./commands.js";
import type { TimedFault } from "./fault.js";
import type { SoakSite } from "./site.js";

/** Plans of faults that do not depend on a seed. */
export const fixedPlanNames = ["powerThenCrash", "loseAllPower", "crashAllPrimaries"] as const;

/** The name of a plan that does not depend on a seed. */
export type FixedPlanName = (typeof fixedPlanNames)[number];

const powerLossAtMs = 3000;
const powerLossForMs = 2000;
const firstCrashAtMs = 3300;
const crashGapMs = 100;
const crashForMs = 12_000;

/** Creates a plan of faults for a site. */
export function createFixedPlan(name: FixedPlanName, site: SoakSite): readonly TimedFault[] {
  switch (name) {
    case "powerThenCrash":
      return [loseAllPower(site), ...crashAllPrimaries(site)];
    case "loseAllPower":
      return [loseAllPower(site)];
    case "crashAllPrimaries":
      return crashAllPrimaries(site);
  }
}

function loseAllPower({ nodesPerZone }: SoakSite): TimedFault {
  const count = nodesPerZone.reduce((sum, nodes) => sum + nodes, 0);
  const nodes = Array.from({ length: count }, (_, index) => index);
  return { atMs: powerLossAtMs, fault: { type: "losePower", nodes, downMs: powerLossForMs } };
}

/** The primaries of all groups crash one shortly after the other, while nodes without power are not back yet. */
function crashAllPrimaries({ groups }: SoakSite): readonly TimedFault[] {
  return Array.from({ length: groups }, (_, group) => {
    const command: BackendCommand = { type: "crashPrimary", group, forMs: crashForMs };
    const fault = { type: "backend", command } as const;
    return { atMs: firstCrashAtMs + crashGapMs * group, fault };
  });
}
