import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, expect, test } from "@jest/globals";

const folder = mkdtempSync(join(tmpdir(), "radishwalk-node-"));
const faultyExit = 2;

afterEach(() => rmSync(folder, { recursive: true, force: true }));

/** Runs the built program with a settings file, to its end. */
function runProgram(settings: string, ...flags: readonly string[]) {
  const path = join(folder, "boot.conf");
  writeFileSync(path, settings);
  return spawnSync(process.execPath, ["dist/platform/main.js", ...flags], {
    env: { ...process.env, RADISHWALK_SETTINGS: path },
    encoding: "utf8",
  });
}

test("with faulty settings the program names each field and does not start", () => {
  const { status, stderr } = runProgram("zone=a\nlisten.frontend=here\n");
  expect(status).toBe(faultyExit);
  expect(stderr).toContain("node-name: missing");
  expect(stderr).toContain("listen.frontend: not HOST:PORT: here");
});
