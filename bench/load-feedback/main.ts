import { createRandom, type BenchRandom } from "../admission/random.js";
import { drawArrivals, isInBurst, kinds, type Arrival } from "../levels/workload.js";
import { World, type Outcome } from "./world.js";

const seed = Number(process.argv[2] ?? 1);
const nodeCounts = [60, 81, 300];
const scenarios = ["staleBurst", "teamFlood", "lagAndFlood"] as const;
const loadMs = 20_000;
/** Time after the load in which the last statements end. */
const drainMs = 3000;
/** With the placement `few` all callers are at so many nodes during bursts, as after a restart of the others. */
const burstNodes = 3;
const placements = ["even", "few"] as const;

const head = [
  "nodes",
  "load",
  "callers",
  "reports",
  "within 0",
  "within 1",
  "within 2",
  "refused by gateways",
  "refused at entry",
  "of these wrongly",
  "messages for refusals",
  "gateways used",
  "longest mean wait ms",
  "shortest mean wait ms",
  "reports sent",
];
console.log(`| ${head.join(" | ")} |\n|${" --- |".repeat(head.length)}`);
for (const nodes of nodeCounts) {
  for (const scenario of scenarios) {
    const arrivals = drawArrivals(scenario, nodes, loadMs, createRandom(seed));
    for (const placement of placements) {
      for (const hasReports of [false, true]) {
        const world = new World(nodes, hasReports, createRandom(seed + 1));
        const findNode = createPlacement(placement, nodes, createRandom(seed + 2));
        const outcomes = world.run(arrivals, findNode, loadMs + drainMs);
        const cells = [nodes, scenario, placement, hasReports ? "on" : "off"];
        console.log(`| ${[...cells, ...describe(world, outcomes)].join(" | ")} |`);
      }
    }
  }
}

function createPlacement(
  placement: (typeof placements)[number],
  nodes: number,
  random: BenchRandom,
): (arrival: Arrival) => number {
  const countNodes = (at: number) => (placement === "few" && isInBurst(at) ? burstNodes : nodes);
  return ({ at }) => Math.floor(random.draw() * countNodes(at));
}

function describe({ counts, gateways }: World, outcomes: readonly Outcome[]) {
  const within = kinds.map(({ level }) => computeWithin(outcomes, level).toFixed(3));
  const used = [...gateways.values()].filter(({ startCount }) => startCount > 0);
  const waits = used.map(({ waitedMs, startCount }) => waitedMs / startCount);
  const { gatewayRefusals, entryRefusals, wrongRefusals } = counts;
  return [
    ...within,
    gatewayRefusals,
    entryRefusals,
    wrongRefusals,
    2 * gatewayRefusals,
    used.length,
    Math.max(...waits).toFixed(0),
    Math.min(...waits).toFixed(0),
    used.reduce((sum, { reportCount }) => sum + reportCount, 0),
  ];
}

function computeWithin(outcomes: readonly Outcome[], level: number): number {
  const own = outcomes.filter(({ arrival }) => arrival.shape.level === level);
  const within = own.filter(
    ({ arrival, answeredAfterMs }) =>
      answeredAfterMs !== undefined && answeredAfterMs <= arrival.shape.objectiveMs,
  );
  return within.length / own.length;
}
