import { performance } from "node:perf_hooks";
import type { Clock } from "../../src/model/index.js";
import { createSystemClock } from "../../src/system/index.js";

/** What the runtime's timers may be late by, in milliseconds. */
const timerSlackMs = 2;

/** The machine's clock, with sleeps shorter than the runtime's timers can do. */
export function createPreciseClock(): Clock {
  const coarse = createSystemClock();
  const sleep = async (ms: number, signal?: AbortSignal): Promise<void> => {
    const end = performance.now() + ms;
    if (ms > timerSlackMs) await coarse.sleep(ms - timerSlackMs, signal);
    while (performance.now() < end) {
      if (signal?.aborted === true) throw new Error("aborted");
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  return { now: () => performance.now(), sleep };
}
