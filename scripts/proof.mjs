// Runs the fault matrix and writes its table into docs/PROOF.md, between the two markers.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const page = "docs/PROOF.md";
const begin = "<!-- matrix: written by `npm run proof` -->";
const end = "<!-- end of matrix -->";
const folder = mkdtempSync(join(tmpdir(), "radishwalk-proof-"));
const cellsFile = join(folder, "cells");
const report = join(folder, "report.json");

const args = ["--experimental-vm-modules", "--disable-warning=ExperimentalWarning"];
args.push("node_modules/jest/bin/jest.js", "matrix", "--json", `--outputFile=${report}`);
const env = { ...process.env, RADISHWALK_CELLS: cellsFile };
spawnSync(process.execPath, args, { stdio: "ignore", env });

const tests = JSON.parse(readFileSync(report, "utf8")).testResults.flatMap(
  (f) => f.assertionResults,
);
const heard = new Map(
  (existsSync(cellsFile) ? readFileSync(cellsFile, "utf8") : "")
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line))
    .map((cell) => [`${cell.fault} | ${cell.step}`, cell]),
);
rmSync(folder, { recursive: true });

const names = tests.map((t) => t.title.split(" | "));
const faults = [...new Set(names.map(([fault]) => fault))];
const steps = [...new Set(names.map(([, step]) => step))];
const words = {
  answered: "answered",
  notRun: "not run",
  mayHaveRun: "may have run",
  error: "error",
};

function renderCell(fault, step) {
  const test = tests.find((t) => t.title === `${fault} | ${step}`);
  if (test === undefined) return "not run";
  if (test.status !== "passed") return "**red**";
  const cell = heard.get(test.title);
  return cell === undefined ? "proved" : `${words[cell.heard]}, ${cell.rows}`;
}

const lines = [
  `| fault | ${steps.join(" | ")} |`,
  `| --- |${steps.map(() => " --- |").join("")}`,
  ...faults.map((f) => `| ${f} | ${steps.map((s) => renderCell(f, s)).join(" | ")} |`),
];
const passed = tests.filter((t) => t.status === "passed").length;
const summary = `${tests.length} cells: ${passed} proved, ${tests.length - passed} red.`;
const text = readFileSync(page, "utf8");
const head = text.slice(0, text.indexOf(begin) + begin.length);
const tail = text.slice(text.indexOf(end));
writeFileSync(page, `${head}\n\n${summary}\n\n${lines.join("\n")}\n\n${tail}`);
console.log(summary);
