import { mkdirSync, writeFileSync } from "node:fs";
import { measureFloods } from "./floods.js";
import { measureSlopes } from "./slopes.js";
import { renderFloods, renderSlopes } from "./table.js";

const seed = Number(process.argv[2] ?? 1);
const floods = measureFloods(seed);
const slopes = measureSlopes();
mkdirSync("bench/out", { recursive: true });
writeFileSync("bench/out/admission.json", JSON.stringify({ seed, floods, slopes }, null, 2));
console.log(`Floods in virtual time, seed ${seed}\n\n${renderFloods(floods)}\n`);
console.log(`Events and state on this machine\n\n${renderSlopes(slopes)}`);
