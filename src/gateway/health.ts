/** A process's recent failures with one gateway. Times are on its clock, in milliseconds. */
export interface GatewayHealth {
  /** Consecutive failures, where those during one pause count once. */
  readonly failures: number;
  /** Until then other gateways are preferred. */
  readonly avoidUntil: number;
}

/** The first pause: several round trips between data centres, but too short for callers to notice. */
const initialAvoidMs = 200;
/** The longest pause, and so the longest time until a restarted gateway is used again. */
const maxAvoidMs = 2000;

/** Records that a gateway could not be reached, stopped answering or no longer serves the group. */
export function recordGatewayFailure(
  health: GatewayHealth | undefined,
  now: number,
): GatewayHealth {
  // Concurrent calls fail together and count as one failure.
  if (health !== undefined && now < health.avoidUntil) return health;
  const failures = (health?.failures ?? 0) + 1;
  const pause = Math.min(maxAvoidMs, initialAvoidMs * 2 ** (failures - 1));
  return { failures, avoidUntil: now + pause };
}
