import { mkdirSync, writeFileSync } from "node:fs";
import { measureRouting, renderRouting } from "./figures.js";

const seed = Number(process.argv[2] ?? 1);
const figures = measureRouting(seed);
mkdirSync("bench/out", { recursive: true });
writeFileSync("bench/out/routing.json", JSON.stringify(figures, null, 2));
console.log(`Reads on replicas, seed ${seed}\n\n${renderRouting(figures)}`);
