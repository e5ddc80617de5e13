import { mkdirSync, writeFileSync } from "node:fs";
import { measureFloods, renderFloods } from "./admission/index.js";
import {
  createRandom,
  createStandinRig,
  formatGaps,
  formatLatencies,
  measureGaps,
  measureLatency,
  type GapListener,
} from "./failover/index.js";
import { measureRouting, renderRouting } from "./routing/index.js";

/*
 * The decisions, each beside its baseline from the same run: changes of primary and write latency
 * over stand-in targets, reads on replicas against a router that knows all, floods against limits
 * split over the proxies.
 */

const seed = Number(process.argv[2] ?? 1);
const failovers = 30;
const output = "bench/out/decisions.json";

const create = (onGap: GapListener) => createStandinRig(seed, onGap);
const gaps = [
  await measureGaps(create, "kill", failovers, createRandom(seed)),
  await measureGaps(create, "freeze", failovers, createRandom(seed)),
];
console.log(`Changes of primary in ms, median / worst, seed ${seed}\n\n${formatGaps(gaps)}\n`);

const latencies = await measureLatency(create);
console.log(`Writes by acknowledgement in ms, median / worst\n\n${formatLatencies(latencies)}\n`);

const routing = measureRouting(seed);
console.log(`Reads on replicas\n\n${renderRouting(routing)}\n`);

const floods = measureFloods(seed);
console.log(`Floods in virtual time\n\n${renderFloods(floods)}\n`);

mkdirSync("bench/out", { recursive: true });
writeFileSync(output, JSON.stringify({ seed, gaps, latencies, routing, floods }, null, 2));
console.log(`written as JSON to ${output}`);
process.exit(0);
