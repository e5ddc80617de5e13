import type { CandidateTarget, PlacementConstraints } from "./candidates.js";
import {
  canReadFromLocalPrimary,
  findLagMs,
  isEligible,
  isExpectedInTime,
  isRemote,
} from "./eligibility.js";
import type { PrimaryState } from "./primary.js";

/**
 * The longest wait for a replica without a slot, in milliseconds. It is below the usual replication lag of 150 ms,
 * since a read that has waited for most of the lag would have been answered earlier by the primary.
 */
const maxReplicaWaitMs = 100;
/** The part of the time left of a read's objective that it may wait for a replica. */
const replicaWaitFraction = 0.25;
/** The shortest wait, in milliseconds. */
const minReplicaWaitMs = 1;

/** How long a read may wait for a replica, when `leftMs` are left of its objective. */
export function limitReplicaWait(leftMs: number): number {
  return Math.max(0, Math.min(maxReplicaWaitMs, leftMs * replicaWaitFraction));
}

/**
 * Finds a replica that a read tries although it is expected to lag, so that a wrong estimate is corrected;
 * undefined if no such try is due. Where the region has replicas those of other regions are not tried.
 */
export function findProbe(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
): string | undefined {
  const replicas = listNearReplicas(constraints, primary, candidates, now);
  return replicas.find((v) => v.readiness?.isProbeDue === true && !isExpectedInTime(v, now))?.name;
}

/**
 * How long a read waits for a replica that is expected to have the required position by `endsAt`, in milliseconds;
 * undefined if it does not wait: a replica can be read now, none is expected in time, or the primary is idle and in
 * this data centre.
 */
export function findReplicaWaitMs(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
  endsAt: number,
): number | undefined {
  const replicas = listNearReplicas(constraints, primary, candidates, now);
  const estimated = replicas.filter((v) => v.readiness !== undefined);
  if (estimated.length === 0 || replicas.some((v) => isExpectedInTime(v, now))) return undefined;
  const primaryName = findPrimaryName(primary);
  const isPrimaryIdle = candidates.some(
    (v) => v.name === primaryName && canReadFromLocalPrimary(v, constraints, now),
  );
  const waitMs = Math.max(minReplicaWaitMs, Math.min(...estimated.map((v) => findLagMs(v, now))));
  return isPrimaryIdle || now + waitMs > endsAt ? undefined : waitMs;
}

/** The replicas of this region that a read may go to if they have the position; all if the region has none. */
function listNearReplicas(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
): readonly CandidateTarget[] {
  if (constraints.needsPrimary || !constraints.hasRequiredMark) return [];
  const primaryName = findPrimaryName(primary);
  const replicas = candidates.filter((v) => v.name !== primaryName);
  const near = replicas.filter((v) => !isRemote(v));
  const anyPosition = { ...constraints, hasRequiredMark: false };
  return (near.length > 0 ? near : replicas).filter((v) => isEligible(v, anyPosition, now));
}

function findPrimaryName(primary: PrimaryState): string | undefined {
  return primary.type === "serving" ? primary.target : undefined;
}
