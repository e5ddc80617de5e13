import {
  findMarkCoverage,
  type Mark,
  type MarkCoverage,
  type Route,
  type TargetStatus,
} from "../model/index.js";
import { findMaxAgeMs, type PositionHistory } from "./history.js";
import { estimateCatchUpMs, type ReplicationProgress } from "./progress.js";

/** A target as the router sees it. */
export interface ReadTarget {
  readonly name: string;
  /** By the owner's belief: a superseded primary is a replica at most. */
  readonly role: "primary" | "replica";
  readonly state: "serving" | "leaving" | "unreachable";
  readonly status: Pick<TargetStatus, "mark" | "lineage">;
  readonly freeSlots: number;
  /** The wait for a slot there that its admission queue implies, in milliseconds. */
  readonly queueMs: number;
  /** For replicas, from `observeReplica`. */
  readonly progress?: ReplicationProgress;
}

/** What a read asks of its target. */
export interface ReadConstraints {
  readonly route: Route;
  /** The session's mark; it binds stale reads too. */
  readonly mark?: Mark;
  readonly timeLeftMs: number;
  /**
   * The longest wait for a replica that a read prefers to an idle primary. 0 goes to the primary
   * whenever its queue is shorter than the wait.
   */
  readonly maxReplicaWaitMs: number;
}

/** A group at the moment of routing. */
export interface RoutingSnapshot {
  readonly now: number;
  readonly targets: readonly ReadTarget[];
  readonly history: PositionHistory;
}

/** Why a read goes to the primary. */
export type PrimaryReason =
  | "ruleSaysPrimary"
  | "markWasCut"
  | "noReplicaServing"
  | "replicasTooOld"
  | "replicasBehind"
  | "replicasBusy";

/** Where a read goes and why, fit for a log line. */
export type ReadRoute =
  /** Any of `targets` will do; the first has the most free slots. */
  | {
      readonly type: "replica";
      readonly targets: readonly string[];
      readonly reason: "holdsMark" | "youngEnough";
    }
  | { readonly type: "primary"; readonly target: string; readonly reason: PrimaryReason }
  /** Route again when `target` reports, after `waitMs` at the latest. */
  | { readonly type: "wait"; readonly target: string; readonly waitMs: number }
  | { readonly type: "nowhere"; readonly reason: "noPrimary" };

type ReplicaClass =
  | { readonly type: "eligible"; readonly target: ReadTarget }
  | { readonly type: "tooOld"; readonly target: ReadTarget }
  | { readonly type: "behind"; readonly target: ReadTarget; readonly missing: number }
  | { readonly type: "cut"; readonly target: ReadTarget };

const minWaitMs = 1;

/** Chooses the targets that may serve a read and still show the session its own writes. */
export function routeRead(demand: ReadConstraints, scene: RoutingSnapshot): ReadRoute {
  if (demand.route.type === "primary") return routeToPrimary(scene, "ruleSaysPrimary");
  const replicas = scene.targets.filter((t) => t.role === "replica" && t.state === "serving");
  const judgements = replicas.map((target) => classifyReplica(target, demand, scene));
  const eligible = judgements.filter((j) => j.type === "eligible").map((j) => j.target);
  return eligible.length > 0
    ? routeToReplica(eligible, demand, scene)
    : routeWithoutReplica(judgements, demand, scene);
}

function classifyReplica(
  target: ReadTarget,
  demand: ReadConstraints,
  scene: RoutingSnapshot,
): ReplicaClass {
  const reach = findCoverage(target, demand.mark);
  switch (reach.type) {
    case "cut":
      return { type: "cut", target };
    case "behind":
      return { type: "behind", target, missing: reach.missing };
    case "reached":
      return isYoungEnough(target, demand.route, scene)
        ? { type: "eligible", target }
        : { type: "tooOld", target };
  }
}

function findCoverage(target: ReadTarget, mark: Mark | undefined): MarkCoverage {
  if (mark === undefined) return { type: "reached" };
  return findMarkCoverage(target.status.lineage, target.status.mark, mark);
}

function isYoungEnough(target: ReadTarget, route: Route, scene: RoutingSnapshot): boolean {
  if (route.type !== "stale") return true;
  const age = findMaxAgeMs(scene.history, target.status.mark, scene.now);
  return age !== undefined && age <= route.maxAgeMs;
}

/**
 * Every eligible replica is named, so that admission takes whichever frees a slot first. They give
 * way to the primary only where their queues would outlast the deadline and the primary's not.
 */
function routeToReplica(
  eligible: readonly ReadTarget[],
  demand: ReadConstraints,
  scene: RoutingSnapshot,
): ReadRoute {
  const ordered = [...eligible].sort(
    (a, b) => b.freeSlots - a.freeSlots || a.queueMs - b.queueMs || (a.name < b.name ? -1 : 1),
  );
  const shortest = Math.min(...ordered.map((t) => t.queueMs));
  const primary = findPrimary(scene);
  if (shortest > demand.timeLeftMs && primary !== undefined && primary.queueMs < shortest) {
    return { type: "primary", target: primary.name, reason: "replicasBusy" };
  }
  const reason = demand.route.type === "stale" ? "youngEnough" : "holdsMark";
  return { type: "replica", targets: ordered.map((t) => t.name), reason };
}

function routeWithoutReplica(
  judgements: readonly ReplicaClass[],
  demand: ReadConstraints,
  scene: RoutingSnapshot,
): ReadRoute {
  const soonest = findEarliestReplica(judgements, demand, scene);
  const primary = findPrimary(scene);
  const worthMs = Math.max(demand.maxReplicaWaitMs, primary?.queueMs ?? Infinity);
  if (soonest !== undefined && soonest.waitMs < Math.min(worthMs, demand.timeLeftMs)) {
    return { type: "wait", ...soonest };
  }
  return routeToPrimary(scene, findPrimaryReason(judgements));
}

/** The replica that is expected to hold the mark first, and when. */
function findEarliestReplica(
  judgements: readonly ReplicaClass[],
  demand: ReadConstraints,
  scene: RoutingSnapshot,
) {
  const waits = judgements.flatMap((j) => {
    if (j.type !== "behind" || demand.mark === undefined) return [];
    const { progress, name } = j.target;
    const waitMs = estimateCatchUpMs(progress, scene.history, demand.mark, j.missing, scene.now);
    return waitMs === undefined ? [] : [{ target: name, waitMs: Math.max(minWaitMs, waitMs) }];
  });
  return waits.sort((a, b) => a.waitMs - b.waitMs)[0];
}

function findPrimaryReason(judgements: readonly ReplicaClass[]): PrimaryReason {
  if (judgements.some((j) => j.type === "behind")) return "replicasBehind";
  if (judgements.some((j) => j.type === "tooOld")) return "replicasTooOld";
  return judgements.some((j) => j.type === "cut") ? "markWasCut" : "noReplicaServing";
}

function routeToPrimary(scene: RoutingSnapshot, reason: PrimaryReason): ReadRoute {
  const primary = findPrimary(scene);
  if (primary === undefined) return { type: "nowhere", reason: "noPrimary" };
  return { type: "primary", target: primary.name, reason };
}

function findPrimary(scene: RoutingSnapshot): ReadTarget | undefined {
  return scene.targets.find((t) => t.role === "primary" && t.state === "serving");
}
