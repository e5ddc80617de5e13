import type { DrainOptions } from "../controller/drain/index.js";

/** When what happens between the signal to end and the end, in milliseconds from the signal. */
export interface DrainPlan extends DrainOptions {
  /** Open transactions are rolled back then. */
  readonly rollBackAfterMs: number;
}

/** The balancer asks once a second and believes two answers: callers come for that long and a bit. */
const announceMs = 2500;
/** Kept at the end of the grace, so that the process ends by itself. */
const exitMarginMs = 700;

/** Divides the platform's grace: half of it is for transactions that were open at the signal. */
export function planDrain(graceMs: number): DrainPlan {
  const announce = Math.min(announceMs, graceMs / 2);
  return {
    announceMs: announce,
    rollBackAfterMs: graceMs / 2,
    limitMs: Math.max(0, graceMs - exitMarginMs - announce),
  };
}
