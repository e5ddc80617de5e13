import { spawnSync } from "node:child_process";
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import { beforeAll, expect, test } from "@jest/globals";

const program = "target/radishwalk-node.cjs";
const cache = "target/node-bundle.cache";
const version = /^radishwalk-node\/\d/;

const run = (...options: readonly string[]) =>
  spawnSync(process.execPath, [...options, program, "--version"], { encoding: "utf8" });

beforeAll(() => {
  const bundling = spawnSync(process.execPath, ["scripts/bundle.mjs"], { encoding: "utf8" });
  expect(bundling.stderr).toBe("");
});

// After a power failure all nodes start at once, and callers wait for as long as that takes. A code cache
// that does not match would make each start slow without any other symptom.
test("the bundled node starts with the code cache that was made for it", () => {
  const { status, stdout, stderr } = run();
  expect(status).toBe(0);
  expect(stdout).toMatch(version);
  expect(stderr).toBe("");
});

test("a cache of another runtime is reported, and the node starts without it", () => {
  const { stdout, stderr } = run("--max-old-space-size=100");
  expect(stdout).toMatch(version);
  expect(stderr).toContain("the code cache is of another runtime");
});

test("the node starts without a cache, and with a corrupt one", () => {
  const completeCache = readFileSync(cache);
  try {
    writeFileSync(cache, completeCache.subarray(0, 1000));
    expect(run().stdout).toMatch(version);
    rmSync(cache);
    expect(run().stdout).toMatch(version);
  } finally {
    writeFileSync(cache, completeCache);
  }
});
