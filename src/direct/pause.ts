import type { DirectPorts } from "./ports.js";

/** The first pause between two tries: shorter than the shortest work, so that no slot stays free. */
const firstPauseMs = 2;
/** The longest pause: about one statement's work, after which a slot is likely to be free. */
const longestPauseMs = 25;

/** Waits between two tries of one statement: longer each time, drawn so that no two coincide. */
export async function pauseBeforeRetry(
  { clock, random }: DirectPorts,
  tries: number,
  deadlineAt: number,
): Promise<void> {
  const step = Math.min(longestPauseMs, firstPauseMs * 2 ** Math.min(tries - 1, 8));
  const pause = step * (0.5 + random.draw() / 2);
  await clock.sleep(Math.max(0, Math.min(pause, deadlineAt - clock.now())));
}

/** The text of a refusal: nothing has run, why, and when to come back. */
export function describeRefusal(reason: string, retryAfterMs: number): string {
  const after = Math.max(1, Math.ceil(retryAfterMs));
  return `not run: ${reason}; try again in ${after} ms`;
}
