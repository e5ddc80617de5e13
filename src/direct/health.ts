/** One target's recent behaviour as this proxy has seen it. Times are on the proxy's clock, in milliseconds. */
export interface TargetHealth {
  /** Consecutive failures, reset by an answer. */
  readonly failures: number;
  /** Until then other targets are preferred. */
  readonly avoidUntil: number;
  /** The replica lacked a required mark; until then no reads that require one are sent to it. */
  readonly laggingUntil: number;
  /** All its slots were taken; until then statements go elsewhere if they can. */
  readonly saturatedUntil: number;
}

/** The health of a target without known problems. */
export const healthyTarget: TargetHealth = {
  failures: 0,
  avoidUntil: 0,
  laggingUntil: 0,
  saturatedUntil: 0,
};

/** The pause after the first failure: about the time of two connection attempts within a data centre. */
const minAvoidMs = 50;
/** The longest pause, which bounds how late a recovered target is used again. */
const maxAvoidMs = 400;
/** A replica usually receives a missing mark after its replication lag, 60 to 150 ms. */
const laggingPauseMs = 80;
/** Several times a statement's usual 14 to 30 ms, so that a burst that filled the slots is over. */
const saturatedPauseMs = 250;

/**
 * Records that a target could not be reached or did not answer. Failures during the pause after a failure
 * are not counted: statements that fail by one broken connection or network partition count once.
 */
export function noteFailure(health: TargetHealth, now: number): TargetHealth {
  if (now < health.avoidUntil) return health;
  const failures = health.failures + 1;
  const pause = Math.min(maxAvoidMs, minAvoidMs * 2 ** (failures - 1));
  return { ...health, failures, avoidUntil: now + pause };
}

/** Records an answer of any kind, including an error. */
export function noteAnswer(health: TargetHealth): TargetHealth {
  return health.failures === 0 ? health : { ...health, failures: 0, avoidUntil: 0 };
}

/** Records that a target had no free slot. */
export function noteSaturated(health: TargetHealth, now: number): TargetHealth {
  return { ...health, saturatedUntil: now + saturatedPauseMs };
}

/** Records that a replica lacked a required mark. */
export function noteLagging(health: TargetHealth, now: number): TargetHealth {
  return { ...health, laggingUntil: now + laggingPauseMs };
}
