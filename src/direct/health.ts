/** What a proxy has seen of one target lately. Times are on its own clock, in milliseconds. */
export interface TargetHealth {
  readonly failures: number;
  /** Until then other targets go first. */
  readonly avoidUntil: number;
  /** Marks that its log lacks are not asked of it until then. */
  readonly laggingUntil: number;
  /** All its slots were taken; until then nothing goes there that can go elsewhere. */
  readonly saturatedUntil: number;
}

/** A target of which nothing bad is known. */
export const healthyTarget: TargetHealth = {
  failures: 0,
  avoidUntil: 0,
  laggingUntil: 0,
  saturatedUntil: 0,
};

/** The first pause after a failure: about the time of two tries to connect within a data centre. */
const minAvoidMs = 50;
/** The longest pause: a target that came back is found again within it. */
const maxAvoidMs = 400;
/** A replica that lacked a mark gets it after about its usual lag, 60 to 150 ms. */
const laggingPauseMs = 80;
/** Several times the usual work of 14 to 30 ms: by then a burst that filled the slots is over. */
const saturatedPauseMs = 250;

/**
 * Notes that a target could not be reached or left a statement without an answer. Several statements
 * that fail with one connection or cut are one failure.
 */
export function noteFailure(health: TargetHealth, now: number): TargetHealth {
  if (now < health.avoidUntil) return health;
  const failures = health.failures + 1;
  const pause = Math.min(maxAvoidMs, minAvoidMs * 2 ** (failures - 1));
  return { ...health, failures, avoidUntil: now + pause };
}

/** Notes an answer, whatever it said. */
export function noteAnswer(health: TargetHealth): TargetHealth {
  return health.failures === 0 ? health : { ...health, failures: 0, avoidUntil: 0 };
}

/** Notes that a target had no slot free. */
export function noteSaturated(health: TargetHealth, now: number): TargetHealth {
  return { ...health, saturatedUntil: now + saturatedPauseMs };
}

/** Notes that a replica lacked a mark. */
export function noteLagging(health: TargetHealth, now: number): TargetHealth {
  return { ...health, laggingUntil: now + laggingPauseMs };
}
