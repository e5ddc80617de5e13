// Runs jest; passes over just the tests that KNOWN-RED.txt names, prints them, and ends with one
// plain line. A line of KNOWN-RED.txt reads `full test name | cause | issue`, or names a command in
// place of a test, which is printed and not run; three at most.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const maxKnownRed = 3;
const folder = mkdtempSync(join(tmpdir(), "radishwalk-test-"));
const report = join(folder, "report.json");

const known = existsSync("KNOWN-RED.txt")
  ? readFileSync("KNOWN-RED.txt", "utf8")
      .split("\n")
      .filter((line) => line.trim() !== "" && !line.startsWith("#"))
      .map((line) => line.split("|")[0].trim())
  : [];

spawnSync(
  process.execPath,
  [
    "--experimental-vm-modules",
    "--disable-warning=ExperimentalWarning",
    "node_modules/jest/bin/jest.js",
    "--json",
    `--outputFile=${report}`,
    ...process.argv.slice(2),
  ],
  { stdio: ["ignore", "ignore", "inherit"] },
);

const result = existsSync(report) ? JSON.parse(readFileSync(report, "utf8")) : undefined;
rmSync(folder, { recursive: true });
if (result === undefined) {
  console.log("jest left no report\n0 passed, 1 failed");
  process.exit(1);
}

const broken = result.testResults.filter((f) => f.assertionResults.length === 0);
const failed = result.testResults
  .flatMap((f) => f.assertionResults)
  .filter((t) => t.status === "failed")
  .map((t) => t.fullName);
const red = failed.filter((name) => known.includes(name));
const unexpected = failed.filter((name) => !known.includes(name));

for (const name of red) console.log(`known red: ${name}`);
const isCommand = (name) => name.startsWith("npm ") || name.startsWith("fleetbench ");
for (const name of known.filter(isCommand)) console.log(`known red, not run here: ${name}`);
for (const name of known.filter((n) => !isCommand(n) && !failed.includes(n))) {
  console.log(`no longer red: ${name}`);
}
for (const name of unexpected) console.log(`failed: ${name}`);
for (const file of broken) console.log(`did not run: ${file.name}`);
if (known.length > maxKnownRed) console.log(`KNOWN-RED.txt has more than ${maxKnownRed} lines`);

const isTooRed = known.length > maxKnownRed;
const failures = unexpected.length + broken.length + (isTooRed ? 1 : 0);
console.log(`${result.numPassedTests} passed, ${failures} failed`);
process.exit(failures === 0 && result.numPassedTests > 0 ? 0 : 1);
