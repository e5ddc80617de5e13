import type { DirectPorts } from "./ports.js";

/** The first pause between two attempts: shorter than the shortest statement, so that no free slot stays unused. */
const firstPauseMs = 2;
/** The longest pause: about the duration of one statement, after which a slot is likely to be free. */
const longestPauseMs = 25;

/** Waits between two attempts with exponential backoff and jitter, at most until the deadline. */
export async function pauseBeforeRetry(
  { clock, random }: DirectPorts,
  attempt: number,
  deadlineAt: number,
): Promise<void> {
  const step = Math.min(longestPauseMs, firstPauseMs * 2 ** Math.min(attempt - 1, 8));
  const pause = step * (0.5 + random.draw() / 2);
  await clock.sleep(Math.max(0, Math.min(pause, deadlineAt - clock.now())));
}

/** Formats a refusal: that nothing has run, the reason, and when to retry. */
export function describeRefusal(reason: string, retryAfterMs: number): string {
  const after = Math.max(1, Math.ceil(retryAfterMs));
  return `not run: ${reason}; try again in ${after} ms`;
}
