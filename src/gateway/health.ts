/** What a process has seen of one gateway lately. Times are on its clock, in milliseconds. */
export interface GatewayHealth {
  readonly failures: number;
  /** Until then others are asked first. */
  readonly avoidUntil: number;
}

/** The first pause: several times a trip between data centres, shorter than what callers notice. */
const firstAvoidMs = 200;
/** The longest: a process that was started again is asked within it. */
const longestAvoidMs = 2000;

/** Notes that a gateway could not be reached, fell silent or serves the group no more. */
export function recordGatewayFailure(
  health: GatewayHealth | undefined,
  now: number,
): GatewayHealth {
  // What was under way together fails together.
  if (health !== undefined && now < health.avoidUntil) return health;
  const failures = (health?.failures ?? 0) + 1;
  const pause = Math.min(longestAvoidMs, firstAvoidMs * 2 ** (failures - 1));
  return { failures, avoidUntil: now + pause };
}
