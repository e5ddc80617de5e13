import {
  findMarkCoverage,
  type Mark,
  type MarkCoverage,
  type Route,
  type TargetStatus,
} from "../model/index.js";
import { findMaxAgeMs, type PositionHistory } from "./history.js";
import { estimateCatchUpMs, type ReplicationProgress } from "./progress.js";

/** The state of a target that routing depends on. */
export interface ReadTarget {
  readonly name: string;
  /** As known to the owner. A superseded primary counts as a replica. */
  readonly role: "primary" | "replica";
  readonly state: "serving" | "leaving" | "unreachable";
  readonly status: Pick<TargetStatus, "mark" | "lineage">;
  readonly freeSlots: number;
  /** The estimated wait for a slot of the target, in milliseconds. */
  readonly queueMs: number;
  /** For replicas: the result of `observeReplica`. */
  readonly progress?: ReplicationProgress;
}

/** The constraints of a read on its target. */
export interface ReadConstraints {
  readonly route: Route;
  /** The session's mark, which stale reads must see too. */
  readonly mark?: Mark;
  readonly timeLeftMs: number;
  /**
   * The longest wait for a replica that is preferred to an idle primary. With 0 the read runs on the
   * primary whenever the wait there is not longer than the one for the replica.
   */
  readonly maxReplicaWaitMs: number;
}

/** The state of a group at the time of routing. */
export interface RoutingSnapshot {
  readonly now: number;
  readonly targets: readonly ReadTarget[];
  readonly history: PositionHistory;
}

/** Why a read runs on the primary. */
export type PrimaryReason =
  | "ruleSaysPrimary"
  | "markWasCut"
  | "noReplicaServing"
  | "replicasTooOld"
  | "replicasBehind"
  | "replicasBusy";

/** Where a read runs and why. The reasons are written to the log. */
export type ReadRoute =
  /** Any of `targets` may serve the read. They are ordered by free slots, the most first. */
  | {
      readonly type: "replica";
      readonly targets: readonly string[];
      readonly reason: "holdsMark" | "youngEnough";
    }
  | { readonly type: "primary"; readonly target: string; readonly reason: PrimaryReason }
  /** The read must be routed again when `target` reports its status, or after `waitMs`. */
  | { readonly type: "wait"; readonly target: string; readonly waitMs: number }
  | { readonly type: "nowhere"; readonly reason: "noPrimary" };

/** Whether a replica may serve a read; if not, why. */
type ReplicaClass =
  | { readonly type: "eligible"; readonly target: ReadTarget }
  | { readonly type: "tooOld"; readonly target: ReadTarget }
  | { readonly type: "behind"; readonly target: ReadTarget; readonly missing: number }
  | { readonly type: "cut"; readonly target: ReadTarget };

const minWaitMs = 1;

/** Chooses the targets that may serve a read such that the session sees its own writes. */
export function routeRead(constraints: ReadConstraints, snapshot: RoutingSnapshot): ReadRoute {
  if (constraints.route.type === "primary") return routeToPrimary(snapshot, "ruleSaysPrimary");
  const replicas = snapshot.targets.filter(
    (target) => target.role === "replica" && target.state === "serving",
  );
  const classes = replicas.map((target) => classifyReplica(target, constraints, snapshot));
  const eligible = classes
    .filter((found) => found.type === "eligible")
    .map((found) => found.target);
  return eligible.length > 0
    ? routeToReplica(eligible, constraints, snapshot)
    : routeWithoutReplica(classes, constraints, snapshot);
}

function classifyReplica(
  target: ReadTarget,
  constraints: ReadConstraints,
  snapshot: RoutingSnapshot,
): ReplicaClass {
  const coverage = findCoverage(target, constraints.mark);
  switch (coverage.type) {
    case "cut":
      return { type: "cut", target };
    case "behind":
      return { type: "behind", target, missing: coverage.missing };
    case "reached":
      return isYoungEnough(target, constraints.route, snapshot)
        ? { type: "eligible", target }
        : { type: "tooOld", target };
  }
}

function findCoverage(target: ReadTarget, mark: Mark | undefined): MarkCoverage {
  if (mark === undefined) return { type: "reached" };
  return findMarkCoverage(target.status.lineage, target.status.mark, mark);
}

function isYoungEnough(target: ReadTarget, route: Route, snapshot: RoutingSnapshot): boolean {
  if (route.type !== "stale") return true;
  const ageMs = findMaxAgeMs(snapshot.history, target.status.mark, snapshot.now);
  return ageMs !== undefined && ageMs <= route.maxAgeMs;
}

/**
 * Returns all eligible replicas, so that admission can use the first that has a free slot. The primary
 * is chosen instead if the wait for each of them exceeds the read's deadline and is longer than the
 * one for the primary.
 */
function routeToReplica(
  eligible: readonly ReadTarget[],
  constraints: ReadConstraints,
  snapshot: RoutingSnapshot,
): ReadRoute {
  const ordered = [...eligible].sort(
    (a, b) => b.freeSlots - a.freeSlots || a.queueMs - b.queueMs || (a.name < b.name ? -1 : 1),
  );
  const shortestMs = Math.min(...ordered.map((target) => target.queueMs));
  const primary = findPrimary(snapshot);
  if (
    shortestMs > constraints.timeLeftMs &&
    primary !== undefined &&
    primary.queueMs < shortestMs
  ) {
    return { type: "primary", target: primary.name, reason: "replicasBusy" };
  }
  const reason = constraints.route.type === "stale" ? "youngEnough" : "holdsMark";
  return { type: "replica", targets: ordered.map((target) => target.name), reason };
}

function routeWithoutReplica(
  classes: readonly ReplicaClass[],
  constraints: ReadConstraints,
  snapshot: RoutingSnapshot,
): ReadRoute {
  const earliest = findEarliestReplica(classes, constraints, snapshot);
  const primary = findPrimary(snapshot);
  const maxWaitMs = Math.max(constraints.maxReplicaWaitMs, primary?.queueMs ?? Infinity);
  if (earliest !== undefined && earliest.waitMs < Math.min(maxWaitMs, constraints.timeLeftMs)) {
    return { type: "wait", ...earliest };
  }
  return routeToPrimary(snapshot, findPrimaryReason(classes));
}

/** Returns the replica that is expected to hold the mark first, and in how many milliseconds. */
function findEarliestReplica(
  classes: readonly ReplicaClass[],
  constraints: ReadConstraints,
  snapshot: RoutingSnapshot,
) {
  const estimates = classes.flatMap((found) => {
    if (found.type !== "behind" || constraints.mark === undefined) return [];
    const { progress, name } = found.target;
    const waitMs = estimateCatchUpMs(
      progress,
      snapshot.history,
      constraints.mark,
      found.missing,
      snapshot.now,
    );
    return waitMs === undefined ? [] : [{ target: name, waitMs: Math.max(minWaitMs, waitMs) }];
  });
  return estimates.sort((a, b) => a.waitMs - b.waitMs)[0];
}

function findPrimaryReason(classes: readonly ReplicaClass[]): PrimaryReason {
  if (classes.some((found) => found.type === "behind")) return "replicasBehind";
  if (classes.some((found) => found.type === "tooOld")) return "replicasTooOld";
  return classes.some((found) => found.type === "cut") ? "markWasCut" : "noReplicaServing";
}

function routeToPrimary(snapshot: RoutingSnapshot, reason: PrimaryReason): ReadRoute {
  const primary = findPrimary(snapshot);
  if (primary === undefined) return { type: "nowhere", reason: "noPrimary" };
  return { type: "primary", target: primary.name, reason };
}

function findPrimary(snapshot: RoutingSnapshot): ReadTarget | undefined {
  return snapshot.targets.find((target) => target.role === "primary" && target.state === "serving");
}
