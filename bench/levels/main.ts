import { mkdirSync, writeFileSync } from "node:fs";
import { createRandom } from "../admission/random.js";
import { computeFigures, renderFigures, type RunFigures } from "./table.js";
import { drawArrivals, scenarios } from "./workload.js";
import { orders, World } from "./world.js";

const seed = Number(process.argv[2] ?? 1);
const nodeCounts = [60, 81, 300];
const loadMs = 60_000;
/** Time after the load in which the last statements end. */
const drainMs = 3000;
const output = "bench/out/levels.json";

const runs: RunFigures[] = [];
for (const nodes of nodeCounts) {
  for (const scenario of scenarios) {
    const arrivals = drawArrivals(scenario, nodes, loadMs, createRandom(seed));
    for (const order of orders) {
      const outcomes = new World(order).run(arrivals, loadMs + drainMs);
      runs.push({ nodes, scenario, order, levels: computeFigures(outcomes) });
    }
  }
}

console.log(renderFigures(runs));
mkdirSync("bench/out", { recursive: true });
writeFileSync(output, JSON.stringify({ seed, runs }, null, 2));
console.log(`\nwritten as JSON to ${output}`);
