import { spawn } from "node:child_process";
import { expect, test } from "@jest/globals";

const program = `
  import { stopOnSignal } from "./dist/src/system/index.js";
  stopOnSignal(() => setTimeout(() => process.exit(7), 500));
  setInterval(() => undefined, 1000);
  console.log("ready");
`;

// The listener was for one signal: the second one killed the process with all requests that it was draining.
test.each(["SIGTERM", "SIGINT"] as const)(
  "a process that drains is not ended by a second signal, here %s",
  async (second) => {
    const child = spawn(process.execPath, ["--input-type=module", "--eval", program]);
    const ended = new Promise((resolve) => {
      child.on("exit", (code, signal) => resolve({ code, signal }));
    });
    await new Promise((resolve) => child.stdout.once("data", resolve));
    child.kill("SIGTERM");
    setTimeout(() => child.kill(second), 100);
    expect(await ended).toEqual({ code: 7, signal: null });
  },
);
