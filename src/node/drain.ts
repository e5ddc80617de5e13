import type { DrainOptions } from "../controller/drain/index.js";

/** The schedule of a shutdown, in milliseconds from the termination signal. */
export interface DrainPlan extends DrainOptions {
  /** When transactions that are still open are rolled back. */
  readonly rollBackAfterMs: number;
}

/** The balancer asks once a second and acts on the second answer; until then it sends callers. */
const announceMs = 2500;
/** Reserved at the end of the grace period, so that the process exits before it is killed. */
const exitMarginMs = 700;

/** Divides the platform's grace period; transactions that are open at the signal get half of it. */
export function planDrain(graceMs: number): DrainPlan {
  const announce = Math.min(announceMs, graceMs / 2);
  return {
    announceMs: announce,
    rollBackAfterMs: graceMs / 2,
    limitMs: Math.max(0, graceMs - exitMarginMs - announce),
  };
}
