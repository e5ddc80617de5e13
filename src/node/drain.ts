import type { DrainOptions } from "../controller/drain/index.js";

/** The schedule of a shutdown, in milliseconds from the termination signal. */
export interface DrainPlan extends DrainOptions {
  /** When transactions that are still open are rolled back, and no further statement is run. */
  readonly endWorkAfterMs: number;
  /** When statements that still wait are refused, so that they are answered before the process ends. */
  readonly cancelWaitingAfterMs: number;
}

/** The balancer asks once a second and acts on the second answer; until then it sends callers. */
const announceMs = 2500;
/** Reserved at the end of the grace period, so that the process exits before it is killed. */
const exitMarginMs = 700;
/** From the refusal of waiting statements to the time limit: their answers take a few milliseconds. */
const answerMarginMs = 300;

/** Divides the platform's grace period; transactions that are open at the signal get half of it. */
export function planDrain(graceMs: number): DrainPlan {
  const announce = Math.min(announceMs, graceMs / 2);
  const endsAfterMs = Math.max(announce, graceMs - exitMarginMs);
  return {
    announceMs: announce,
    endWorkAfterMs: graceMs / 2,
    cancelWaitingAfterMs: Math.max(graceMs / 2, endsAfterMs - answerMarginMs),
    limitMs: endsAfterMs - announce,
  };
}
