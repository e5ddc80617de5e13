import { measureConfiguration, measureTrees } from "./configuration.js";
import { measureMembership } from "./membership.js";
import type { Sample } from "./measure.js";
import { measureOwners } from "./owner.js";

const fleets = [8, 100, 1000, 3800];
const rosters = [100, 1000, 10_000];

const samples = [
  ...measureMembership(fleets),
  ...measureTrees(fleets),
  ...measureConfiguration(rosters),
  ...measureOwners(fleets),
];

if (process.argv.includes("--json")) console.log(JSON.stringify(samples, undefined, 2));
else printTable(samples);

function printTable(rows: readonly Sample[]): void {
  const names = [...new Set(rows.map(({ role, what, unit }) => `${role} | ${what} | ${unit}`))];
  for (const name of names) {
    const own = rows.filter(({ role, what, unit }) => `${role} | ${what} | ${unit}` === name);
    const cells = own.map(({ size, value }) => `${size}: ${value.toFixed(value < 100 ? 1 : 0)}`);
    console.log(`${name} | ${cells.join(", ")}`);
  }
}
