import { performance } from "node:perf_hooks";
import type { Clock } from "../model/index.js";

/** Creates a clock from the machine's monotonic time, in milliseconds since the process started. */
export function createSystemClock(): Clock {
  return { now: () => performance.now(), sleep };
}

function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted === true) {
      reject(toError(signal.reason));
      return;
    }
    const onAbort = () => {
      clearTimeout(timer);
      reject(toError(signal?.reason));
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", onAbort);
      resolve();
    }, ms);
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}

function toError(reason: unknown): Error {
  return reason instanceof Error ? reason : new Error(String(reason));
}
