import type { TargetHealth } from "./health.js";
import type { PrimaryState } from "./primary.js";

/** A target as the choice sees it. */
export interface CandidateTarget {
  readonly name: string;
  readonly isLeaving: boolean;
  /** In this proxy's own data centre. */
  readonly isLocal: boolean;
  readonly health: TargetHealth;
  /** Statements of this proxy that it works on now. */
  readonly running: number;
  /** Whether a connection to it that serves the statement's team is free. */
  readonly hasIdle: boolean;
  readonly slots: number;
  /** Of these, taken by what works there or waits for a connection. */
  readonly occupiedSlots: number;
}

/** What a statement asks of its target. */
export interface PlacementConstraints {
  readonly needsPrimary: boolean;
  /** Whether a replica must prove that it holds a mark. */
  readonly hasRequiredMark: boolean;
  /** It must not take what more important work may need. */
  readonly isBackground: boolean;
  /** Targets that have refused this statement already. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * Failures after which a primary gets one statement at a time. One more than a replica: there is no other
 * to go to, and one lost answer should hold up nobody.
 */
const primaryProbeFailures = 2;
/** What waits for that one looks again after this: about a new connection's time of 12 ms, and its work. */
const probeRetryMs = 50;
/** What opening a connection is to a target, in statements. */
const connectionOpeningLoad = 0.5;
/** Why a statement waits, or is refused after it has waited. */
const primaryFailingReason = "the primary has left statements without an answer just now";

/** Where a statement may go. */
export type CandidateChoice =
  | {
      readonly type: "targets";
      readonly role: "primary" | "replica";
      readonly names: readonly string[];
    }
  | { readonly type: "wait"; readonly readyInMs: number; readonly reason: string }
  | { readonly type: "nowhere"; readonly reason: string };

/**
 * Chooses the targets that may take a statement. Reads go to replicas: the primary's slots are what
 * writes cannot do without. They fall back on it when no replica is fit, and go to it at once where it
 * is near and idle.
 */
export function chooseCandidates(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
  random: () => number,
): CandidateChoice {
  if (constraints.needsPrimary) return choosePrimary(primary, candidates, now);
  const primaryName = primary.type === "serving" ? primary.target : undefined;
  const replicas = candidates.filter(
    (v) => v.name !== primaryName && isEligible(v, constraints, now),
  );
  const localPrimary = candidates.find(
    (v) => v.name === primaryName && canReadFromLocalPrimary(v, constraints, now),
  );
  const hasIdleLocalReplica = replicas.some((v) => v.isLocal && v.running === 0);
  if (localPrimary !== undefined && !hasIdleLocalReplica) {
    return { type: "targets", role: "primary", names: [localPrimary.name] };
  }
  if (replicas.length > 0)
    return { type: "targets", role: "replica", names: pickLeastLoaded(replicas, random) };
  const onPrimary = choosePrimary(primary, candidates, now);
  if (onPrimary.type === "targets") return onPrimary;
  const fallbackReplicas = candidates.filter(
    (v) => v.name !== primaryName && !v.isLeaving && v.slots > 0,
  );
  if (fallbackReplicas.length === 0) return onPrimary;
  return { type: "targets", role: "replica", names: pickLeastLoaded(fallbackReplicas, random) };
}

/**
 * The primary, unless it left statements without an answer just now: whoever comes meanwhile would wait
 * in vain for a connection, and be told only when its time is over that nothing ran.
 */
function choosePrimary(
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
): CandidateChoice {
  switch (primary.type) {
    case "changing":
      return { type: "wait", readyInMs: primary.readyInMs, reason: primary.reason };
    case "unknown":
      return { type: "nowhere", reason: primary.reason };
    case "serving": {
      const candidate = candidates.find((v) => v.name === primary.target);
      if (candidate === undefined) return { type: "nowhere", reason: "the primary is not listed" };
      const readyInMs = candidate.health.avoidUntil - now;
      if (readyInMs > 0) return { type: "wait", readyInMs, reason: primaryFailingReason };
      if (candidate.health.failures >= primaryProbeFailures && candidate.occupiedSlots > 0)
        return { type: "wait", readyInMs: probeRetryMs, reason: primaryFailingReason };
      return { type: "targets", role: "primary", names: [candidate.name] };
    }
  }
}

/**
 * Whether a read may go to the primary though replicas are fit: where it is in this data centre, works
 * on nothing of this proxy's and has turned nobody away lately. Each proxy keeps at most one such read
 * on it, so that writes find a slot; background work keeps away from it altogether. Without it
 * reads leave their data centre past an idle primary, and pay for the way.
 */
function canReadFromLocalPrimary(
  candidate: CandidateTarget,
  constraints: PlacementConstraints,
  now: number,
): boolean {
  if (constraints.isBackground || !candidate.isLocal || candidate.running > 0) return false;
  return (
    isEligible(candidate, { ...constraints, hasRequiredMark: false }, now) &&
    now >= candidate.health.saturatedUntil
  );
}

/**
 * A target that fails gets one statement at a time, to find out whether it is back; the others go
 * elsewhere. Each that is sent to one that went dark waits up to 0.4 s for a connection, longer than its
 * callers' aim, and those that queue behind it are refused.
 */
function isBeingProbed({ health, occupiedSlots: held }: CandidateTarget): boolean {
  return health.failures > 0 && held > 0;
}

function isEligible(
  candidate: CandidateTarget,
  constraints: PlacementConstraints,
  now: number,
): boolean {
  if (candidate.isLeaving || candidate.slots === 0 || constraints.excluded.has(candidate.name))
    return false;
  if (now < candidate.health.avoidUntil || isBeingProbed(candidate)) return false;
  return !constraints.hasRequiredMark || now >= candidate.health.laggingUntil;
}

/**
 * The least busy target alone while one has a free slot, else all, for whichever frees one first.
 * A target to which a connection has to be opened first counts as busier by a part of a statement: that
 * takes about 12 ms and one of its slots. Ties go to this data centre, whose links cost nothing, and are drawn
 * otherwise: were they broken by name, every idle proxy would send to the same target.
 */
function measureLoad({ running, hasIdle }: CandidateTarget): number {
  return running + (hasIdle ? 0 : connectionOpeningLoad);
}

function pickLeastLoaded(
  candidates: readonly CandidateTarget[],
  random: () => number,
): readonly string[] {
  const free = candidates.filter((v) => v.running < v.slots);
  if (free.length === 0) return candidates.map((v) => v.name);
  const minLoad = Math.min(...free.map(measureLoad));
  const leastLoaded = free.filter((v) => measureLoad(v) === minLoad);
  const local = leastLoaded.filter((v) => v.isLocal);
  const ties = local.length > 0 ? local : leastLoaded;
  const pick = ties[Math.floor(random() * ties.length)];
  return pick === undefined ? [] : [pick.name];
}
