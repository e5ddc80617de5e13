import { createInterface } from "node:readline";

/*
 * Reads process ids from its parent, `+1234` when a process starts and `-1234` when it has ended.
 * Once the parent's end of the pipe closes, it kills the remaining processes.
 */

const running = new Set<number>();

process.on("SIGTERM", () => undefined);
process.on("SIGINT", () => undefined);
const lines = createInterface({ input: process.stdin });
lines.on("line", (line) => {
  const id = Number(line.slice(1));
  if (line.startsWith("+")) running.add(id);
  else running.delete(id);
});
lines.on("close", () => {
  for (const id of running) kill(id);
});

function kill(id: number): void {
  try {
    process.kill(id, "SIGKILL");
  } catch {
    // The process has already ended.
  }
}
