import { assumedCrossingMs, type Distance } from "../topology/index.js";
import {
  canReadFromLocalPrimary,
  findLagMs,
  isEligible,
  isExpectedInTime,
  isRemote,
} from "./eligibility.js";
import type { TargetHealth } from "./health.js";
import { typicalChangeMs, type PrimaryState } from "./primary.js";
import type { Readiness } from "./replica-positions.js";

/** The state of a target that the choice of one depends on. */
export interface CandidateTarget {
  readonly name: string;
  readonly isLeaving: boolean;
  /** Whether a statement sent now could reach it after its drain timeout; absent counts as false. */
  readonly hasDrained?: boolean;
  /** Whether it is in this proxy's data centre. */
  readonly isLocal: boolean;
  /** How far it is from this proxy; absent counts as within the region. */
  readonly distance?: Distance;
  readonly health: TargetHealth;
  /** Statements and transactions of this proxy that hold a connection to it. */
  readonly running: number;
  /** Whether an idle connection to it serves the statement's team. */
  readonly hasIdle: boolean;
  /** This proxy's slots at the target. */
  readonly slots: number;
  /** Slots taken by statements that run there or wait for a connection. */
  readonly occupiedSlots: number;
  /** When it has the position that the statement requires; absent where this is not estimated. */
  readonly readiness?: Readiness;
}

/** The constraints of a statement on its target. */
export interface PlacementConstraints {
  readonly needsPrimary: boolean;
  /** Whether a replica's log must contain a given mark. */
  readonly hasRequiredMark: boolean;
  /** Whether it must leave capacity for more important statements. */
  readonly isBackground: boolean;
  /** Targets that have already refused this statement. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * Consecutive failures after which a primary gets one statement at a time. It is one more than for a replica:
 * statements have no other primary to go to, and a single lost answer should not delay them.
 */
const primaryProbeFailures = 2;
/** The wait for that one statement: about the 12 ms of opening a connection plus its run time. */
const probeRetryMs = 50;
/** The load of opening a connection, in running statements. */
const connectionOpeningLoad = 0.5;
/** Why a statement waits, or is refused after waiting. */
const replicasLagReason =
  "the replicas lack the required position, and the primary is not available";
const drainedPrimaryReason = "the primary has left and is not replaced yet";
const primaryFailingReason = "the primary has not answered recent statements";

/** What leaving the region is weighed by. Times are in milliseconds. */
export interface CrossingCost {
  /** Estimates the wait of the statement for a slot at some targets. */
  readonly estimateWaitMs: (names: readonly string[]) => number;
  /** Estimates what a round trip to the nearest of some targets in other regions takes. */
  readonly estimateCrossingMs: (names: readonly string[]) => number;
}

/** The targets that may take a statement, or why there is none. */
export type CandidateChoice =
  | {
      readonly type: "targets";
      readonly role: "primary" | "replica";
      readonly names: readonly string[];
      /** Set where the statement waits in its region: it may leave it after this time. */
      readonly leavesRegionAfterMs?: number;
    }
  | { readonly type: "wait"; readonly readyInMs: number; readonly reason: string }
  | { readonly type: "nowhere"; readonly reason: string };

/**
 * Chooses the targets that may take a statement. Reads prefer replicas, since writes need the primary's
 * slots. They use the primary when no replica is eligible, or when it is idle and in this data centre while
 * no local replica is idle.
 */
export function chooseCandidates(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
  random: () => number,
  crossing: CrossingCost = unknownCrossingCost,
): CandidateChoice {
  if (constraints.needsPrimary) return choosePrimary(primary, candidates, now);
  const primaryName = primary.type === "serving" ? primary.target : undefined;
  if (candidates.some(isRemote)) {
    const context = { constraints, primaryName, candidates, now, random, crossing };
    const chosen = chooseByRegion(context);
    if (chosen !== undefined) return chosen;
    return choosePrimaryOrAnyReplica(constraints, primary, candidates, now, random);
  }
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
  return choosePrimaryOrAnyReplica(constraints, primary, candidates, now, random);
}

/** Without a usable primary even a replica that is failing is better than a refusal. */
function choosePrimaryOrAnyReplica(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
  random: () => number,
): CandidateChoice {
  const onPrimary = choosePrimary(primary, candidates, now);
  if (onPrimary.type === "targets") return onPrimary;
  const primaryName = primary.type === "serving" ? primary.target : undefined;
  const replicas = candidates.filter(
    (v) => v.name !== primaryName && !v.isLeaving && v.hasDrained !== true && v.slots > 0,
  );
  if (replicas.length === 0) return onPrimary;
  const choice = chooseFallbackReplica(replicas, constraints, now, random);
  // A replica may be expected to lag for longer than the primary is unavailable, or than the statement has left.
  const isEstimated = replicas.some((v) => v.readiness !== undefined);
  if (choice.type !== "wait" || onPrimary.type !== "wait" || !isEstimated) return choice;
  return { ...choice, readyInMs: Math.min(choice.readyInMs, onPrimary.readyInMs) };
}

/**
 * Chooses a replica for a read that has no eligible target and can't use the primary. While the replicas that it
 * could ask lack the required mark the read waits: asked again at once they would answer the same, and the read
 * would use up its attempts, and the targets' time, within milliseconds. Where there are targets in other regions,
 * one that does not answer is not asked instead: it may be cut off with its region.
 */
function chooseFallbackReplica(
  replicas: readonly CandidateTarget[],
  { hasRequiredMark }: PlacementConstraints,
  now: number,
  random: () => number,
): CandidateChoice {
  const lagging = replicas.filter((v) => hasRequiredMark && !isExpectedInTime(v, now));
  const others = replicas.filter((v) => !lagging.includes(v));
  const hasRegions = replicas.some(isRemote);
  const answering = hasRegions ? others.filter((v) => now >= v.health.avoidUntil) : others;
  if (answering.length === 0 && lagging.length > 0) {
    const readyInMs = Math.min(...lagging.map((v) => findLagMs(v, now)));
    return { type: "wait", readyInMs, reason: replicasLagReason };
  }
  const near = answering.filter((v) => !isRemote(v));
  const preferred = near.length > 0 && others.some(isRemote) ? near : others;
  return { type: "targets", role: "replica", names: pickLeastLoaded(preferred, random) };
}

/**
 * Whether a read needs the primary: no replica is known to be fresh enough, or none can be read because all
 * lag or are unreachable. A replica that only had no free slot for this statement does not count as unreadable.
 */
export function needsPrimarySlot(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
): boolean {
  if (constraints.needsPrimary) return true;
  const primaryName = primary.type === "serving" ? primary.target : undefined;
  const unrefused = { ...constraints, excluded: new Set<string>() };
  return !candidates.some((v) => v.name !== primaryName && isEligible(v, unrefused, now));
}

/**
 * Whether a target of this region can serve a read: a replica that is not known to lag, or the primary. One that
 * only had no free slot for this statement counts as well.
 */
export function hasRegionalTarget(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
): boolean {
  const primaryName = primary.type === "serving" ? primary.target : undefined;
  return candidates.some((v) => {
    const hasRequiredMark = constraints.hasRequiredMark && v.name !== primaryName;
    const unrefused = { ...constraints, hasRequiredMark, excluded: new Set<string>() };
    return !isRemote(v) && isEligible(v, unrefused, now);
  });
}

/** What the choice of a read's target among several regions depends on. */
interface RegionalChoice {
  readonly constraints: PlacementConstraints;
  readonly primaryName: string | undefined;
  readonly candidates: readonly CandidateTarget[];
  readonly now: number;
  readonly random: () => number;
  readonly crossing: CrossingCost;
}

/**
 * Chooses a read's target where the group has targets in several regions, whose link is narrow. The read stays in
 * this region unless the wait for a slot here exceeds the wait elsewhere by more than the way there and back.
 * Undefined when no replica is eligible.
 */
function chooseByRegion(context: RegionalChoice): CandidateChoice | undefined {
  const { constraints, primaryName, candidates, now, random, crossing } = context;
  const replicas = candidates.filter(
    (v) => v.name !== primaryName && isEligible(v, constraints, now),
  );
  const near = replicas.filter((v) => !isRemote(v));
  const remote = replicas.filter(isRemote);
  const primary = candidates.find((v) => v.name === primaryName && !isRemote(v));
  if (primary !== undefined && isPreferredPrimary(primary, near, context)) {
    return { type: "targets", role: "primary", names: [primary.name] };
  }
  if (near.length === 0) {
    if (remote.length === 0) return undefined;
    return {
      type: "targets",
      role: "replica",
      names: pickLeastLoaded(remote, random, hasFreeSlot),
    };
  }
  const names = pickLeastLoaded(near, random, hasFreeSlot);
  if (remote.length === 0 || near.some(hasFreeSlot))
    return { type: "targets", role: "replica", names };
  const remoteNames = remote.map((v) => v.name);
  const crossingMs = crossing.estimateCrossingMs(remoteNames);
  const waitMs = crossing.estimateWaitMs(names);
  if (waitMs <= crossingMs + crossing.estimateWaitMs(remoteNames)) {
    return { type: "targets", role: "replica", names, leavesRegionAfterMs: crossingMs };
  }
  const leaving = remote.some(hasFreeSlot) ? remote : replicas;
  return { type: "targets", role: "replica", names: pickLeastLoaded(leaving, random, hasFreeSlot) };
}

/**
 * The replicas that a read which has waited in its region for a slot may use in any region; empty when it can only
 * go on waiting.
 */
export function listReplicasOfAllRegions(
  constraints: PlacementConstraints,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
): readonly string[] {
  const primaryName = primary.type === "serving" ? primary.target : undefined;
  return candidates
    .filter((v) => v.name !== primaryName && isEligible(v, constraints, now))
    .map((v) => v.name);
}

/**
 * Whether a read uses the primary of this region: it is idle and in this data centre while no replica of the
 * region is idle, or no replica of the region is eligible and it has a free slot.
 */
function isPreferredPrimary(
  primary: CandidateTarget,
  near: readonly CandidateTarget[],
  { constraints, now }: RegionalChoice,
): boolean {
  if (near.length > 0) {
    const hasIdleReplica = near.some((v) => v.running === 0);
    return !hasIdleReplica && canReadFromLocalPrimary(primary, constraints, now);
  }
  // Background statements leave one of several slots of a primary free.
  const reserved = constraints.isBackground && primary.slots >= 2 ? 1 : 0;
  return (
    isEligible(primary, { ...constraints, hasRequiredMark: false }, now) &&
    now >= primary.health.saturatedUntil &&
    primary.occupiedSlots < primary.slots - reserved
  );
}

function hasFreeSlot({ occupiedSlots, slots }: CandidateTarget): boolean {
  return occupiedSlots < slots;
}

/** Without an estimate a read stays in its region. */
const unknownCrossingCost: CrossingCost = {
  estimateWaitMs: () => 0,
  estimateCrossingMs: () => assumedCrossingMs,
};

/**
 * Chooses the primary unless it has left or has just failed to answer. Statements sent to it then would wait in vain for
 * a connection and be refused only at their deadline.
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
      if (candidate.hasDrained === true)
        return { type: "wait", readyInMs: typicalChangeMs, reason: drainedPrimaryReason };
      const readyInMs = candidate.health.avoidUntil - now;
      if (readyInMs > 0) return { type: "wait", readyInMs, reason: primaryFailingReason };
      if (candidate.health.failures >= primaryProbeFailures && candidate.occupiedSlots > 0)
        return { type: "wait", readyInMs: probeRetryMs, reason: primaryFailingReason };
      return { type: "targets", role: "primary", names: [candidate.name] };
    }
  }
}

/**
 * The running statements plus the load of opening a connection if none is idle, which takes about 12 ms
 * and one of the target's slots.
 */
function measureLoad({ running, hasIdle }: CandidateTarget): number {
  return running + (hasIdle ? 0 : connectionOpeningLoad);
}

/**
 * Picks the least loaded target with a free slot, or all targets if none has one, so that the first to free a
 * slot takes the statement. Ties prefer this data centre, where traffic is free, and are otherwise broken at
 * random: broken by name, they would make every idle proxy send to the same target.
 */
function pickLeastLoaded(
  candidates: readonly CandidateTarget[],
  random: () => number,
  isFree: (candidate: CandidateTarget) => boolean = (v) => v.running < v.slots,
): readonly string[] {
  const free = candidates.filter(isFree);
  if (free.length === 0) return candidates.map((v) => v.name);
  const minLoad = Math.min(...free.map(measureLoad));
  const leastLoaded = free.filter((v) => measureLoad(v) === minLoad);
  const local = leastLoaded.filter((v) => v.isLocal);
  const ties = local.length > 0 ? local : leastLoaded;
  const pick = ties[Math.floor(random() * ties.length)];
  return pick === undefined ? [] : [pick.name];
}
