import type { Configuration, Rule, Vm } from "../../src/model/index.js";

/** Builds VMs spread over 22 data centres. */
export function buildVms(count: number): readonly Vm[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `vm-${String(i).padStart(5, "0")}`,
    dataCentre: `region-${(i % 22) % 6}-dc-${i % 22}`,
    peer: { host: `10.${i >> 16}.${(i >> 8) & 255}.${i & 255}`, port: 7432 },
    state: "live",
  }));
}

/** Builds a configuration with so many teams, and a rule for each ten of them, 400 at most. */
export function buildConfiguration(teams: number, revision: number): Configuration {
  const names = Array.from({ length: teams }, (_, i) => `team-${String(i).padStart(6, "0")}`);
  const rules = Math.min(400, Math.ceil(teams / 10));
  return {
    revision,
    changeId: "00000000-0000-4000-8000-000000000000",
    teams: names.map((name, i) => ({ name, plan: i % 5 === 0 ? "paying" : "trial" })),
    rules: Array.from({ length: rules }, (_, i) => buildRule(i, names[i * 10] ?? "")),
  };
}

function buildRule(i: number, team: string): Rule {
  return {
    name: `rule-${i}`,
    when: { teams: [team], kinds: ["browse", "catalogue"], effect: "read" },
    then: {
      type: "serve",
      route: { type: "stale", maxAgeMs: 5000 },
      priority: "browsing",
      deadlineMs: 2000,
      maxQueueMs: 500,
      retry: { attempts: 1 },
      acknowledgement: "replicated",
    },
  };
}
