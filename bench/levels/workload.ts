import type { AdmissionRequest } from "../../src/controller/admission/index.js";
import type { BenchRandom } from "../admission/random.js";

/** The deployment's kinds of statements, by the type of their route. */
export type Kind = "primary" | "stale" | "readYourWrites";

/** One kind of statement of a group, as the deployment has it with `deployedNodes` nodes. */
export interface KindShape {
  readonly kind: Kind;
  readonly level: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** The rate over all groups. */
  readonly perSecond: number;
  readonly serviceMs: number;
  readonly priority: AdmissionRequest["priority"];
  /** The share of the statements that only the primary can serve. */
  readonly primaryShare: number;
}

/** Nodes of the deployment whose rates `kinds` has. */
const deployedNodes = 67;
const groups = 6;
/** The slots of each target. */
export const slotsPerTarget = 4;
/** The target that serves writes. */
export const primaryTarget = "p";
/** The targets that serve reads while they do not lag. */
export const replicaTargets = ["r1", "r2"] as const;

/**
 * Deployment B. A tenth of the reads of read-your-writes needs the primary, as the replicas lag, and so does
 * the 0.12 that writes.
 */
export const kinds: readonly KindShape[] = [
  {
    kind: "primary",
    level: 0,
    objectiveMs: 150,
    deadlineMs: 800,
    perSecond: 101,
    serviceMs: 6,
    priority: "critical",
    primaryShare: 1,
  },
  {
    kind: "readYourWrites",
    level: 1,
    objectiveMs: 250,
    deadlineMs: 800,
    perSecond: 475,
    serviceMs: 18,
    priority: "critical",
    primaryShare: 0.21,
  },
  {
    kind: "stale",
    level: 2,
    objectiveMs: 1000,
    deadlineMs: 1200,
    perSecond: 177,
    serviceMs: 30,
    priority: "browsing",
    primaryShare: 0,
  },
];

const teamCount = 76;
const largeTeams = 4;
/** The share of the statements that the large teams send. */
const largeShare = 0.5;
/** The team that floods; it is one of the large ones. */
export const floodTeam = "large-0";

/** The loads. All have the deployment's rates, all but the first with a burst in 2 s of each 10 s. */
export const scenarios = ["steady", "staleBurst", "teamFlood", "lagAndFlood"] as const;

/** The name of a load. */
export type Scenario = (typeof scenarios)[number];

const burstEveryMs = 10_000;
/** In the bursts of `lagAndFlood` all replicas lag, so that every read needs the primary. */
const burstLengthMs = 2000;
/** How many times their usual rate stale reads have in their burst. */
const staleBurstFactor = 4;
/** In its bursts the flooding team sends as many statements as all teams together, of all kinds. */
const floodShare = 1;

/** One statement of the load, the same for every order of the queue. */
export interface Arrival {
  readonly at: number;
  readonly shape: KindShape;
  readonly team: string;
  readonly needsPrimary: boolean;
  readonly serviceMs: number;
}

/** Whether a time lies in a burst. */
export function isInBurst(at: number): boolean {
  return at % burstEveryMs >= burstEveryMs - burstLengthMs;
}

/** Draws the statements of one group with so many nodes, in order of time. */
export function drawArrivals(
  scenario: Scenario,
  nodes: number,
  untilMs: number,
  random: BenchRandom,
): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  for (const shape of kinds) {
    const perMs = (shape.perSecond * nodes) / deployedNodes / groups / 1000;
    const peak = findPeak(scenario, shape);
    for (let at = random.drawExponential(1 / (perMs * peak)); at < untilMs;) {
      const drawn = random.draw() * peak;
      const team = drawTeam(random);
      const needsPrimary = random.draw() < shape.primaryShare;
      const serviceMs = random.drawExponential(shape.serviceMs);
      const isFlood = hasFlood(scenario) && drawn >= 1;
      const isLagging = scenario === "lagAndFlood" && isInBurst(at);
      if (drawn < 1 || isInBurst(at)) {
        arrivals.push({
          at,
          shape,
          team: isFlood ? floodTeam : team,
          needsPrimary: needsPrimary || isLagging,
          serviceMs,
        });
      }
      at += random.drawExponential(1 / (perMs * peak));
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

/** The rate of a kind in a burst, as a multiple of its usual rate. */
function findPeak(scenario: Scenario, { kind }: KindShape): number {
  if (hasFlood(scenario)) return 1 + floodShare;
  return scenario === "staleBurst" && kind === "stale" ? staleBurstFactor : 1;
}

function hasFlood(scenario: Scenario): boolean {
  return scenario === "teamFlood" || scenario === "lagAndFlood";
}

function drawTeam(random: BenchRandom): string {
  const isLarge = random.draw() < largeShare;
  const count = isLarge ? largeTeams : teamCount - largeTeams;
  return `${isLarge ? "large" : "small"}-${Math.floor(random.draw() * count)}`;
}
