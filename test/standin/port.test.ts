import { spawn, type ChildProcess } from "node:child_process";
import { afterEach, expect, test } from "@jest/globals";

/** More than a test file needs; the ranges of processes with neighbouring ids overlapped for more than 97. */
const ports = 150;
const program = `
  import { findFreePort } from "./dist/standin/processes/index.js";
  const found = [];
  for (let i = 0; i < ${ports}; i += 1) found.push(await findFreePort());
  console.log(JSON.stringify(found));
  setInterval(() => undefined, 1000);
`;
const children: ChildProcess[] = [];

afterEach(() => {
  for (const child of children.splice(0)) child.kill("SIGKILL");
});

function findPorts(): Promise<readonly number[]> {
  const child = spawn(process.execPath, ["--input-type=module", "--eval", program]);
  children.push(child);
  return new Promise((resolve) => {
    child.stdout.once("data", (text: Buffer) => resolve(JSON.parse(text.toString()) as number[]));
  });
}

// A node exits if another process listens on its port: "unexpectedEnds 7" in a run with neighbouring test workers.
test("processes that look for ports at the same time find different ones", async () => {
  const found = (await Promise.all([1, 2, 3, 4, 5, 6].map(findPorts))).flat();
  expect(found).toHaveLength(6 * ports);
  expect(new Set(found).size).toBe(found.length);
});
