import {
  emptyHistory,
  observePrimary,
  observeReplica,
  type PositionHistory,
  type ReplicationProgress,
  type RoutingSnapshot,
  type ReadTarget,
} from "../policy/index.js";
import {
  findMarkCoverage,
  type Group,
  type GroupView,
  type Mark,
  type Target,
  type TargetView,
} from "../model/index.js";

/** A target that has missed this many probes gets no new work. */
const unreachableAfterMissed = 2;

/** The part of a group's queue that routing uses. */
export interface RoutingQueue {
  countFree(target: string): number;
  /** Estimates the wait for a slot of one target, in milliseconds. */
  estimateWaitMs(target: string): number;
}

/** Tracks what the router needs besides the latest view: log positions over time. */
export class RoutingTracker {
  private history: PositionHistory = emptyHistory;
  private readonly progress = new Map<string, ReplicationProgress>();

  constructor(
    private group: Group,
    /** Finds the latest time at which a majority is known to have followed the view's primary. */
    private readonly findMajorityConfirmedAt: (
      view: GroupView,
      targets: readonly string[],
    ) => number | undefined,
  ) {}

  setGroup(group: Group): void {
    this.group = group;
  }

  /** Records the positions of a new view. */
  observe(view: GroupView): void {
    this.recordPrimary(view);
    for (const target of this.group.targets) {
      const seen = view.targets[target.name];
      if (seen === undefined || target.name === view.primary?.target) continue;
      const progress = observeReplica(this.progress.get(target.name), seen, this.history);
      this.progress.set(target.name, progress);
    }
  }

  /** Builds the router's input. */
  buildReadScene(view: GroupView, queue: RoutingQueue, now: number): RoutingSnapshot {
    const targets = this.group.targets.flatMap((target) => {
      const seen = view.targets[target.name];
      return seen === undefined ? [] : [this.buildTarget(target, seen, view, queue)];
    });
    return { now, targets, history: this.history };
  }

  /**
   * A superseded primary still reports an end of its log, which is no longer the group's, and ages computed
   * from it would be too small. A report therefore counts only as of the latest time at which a majority
   * confirmed the primary.
   */
  private recordPrimary(view: GroupView): void {
    const names = this.group.targets.map((t) => t.name);
    const confirmedAt = this.findMajorityConfirmedAt(view, names);
    const seen = view.primary && view.targets[view.primary.target];
    if (seen === undefined || confirmedAt === undefined) return;
    const askedAt = Math.min(seen.askedAt, confirmedAt);
    this.history = observePrimary(this.history, { ...seen, askedAt });
  }

  private buildTarget(
    target: Target,
    seen: TargetView,
    view: GroupView,
    queue: RoutingQueue,
  ): ReadTarget {
    const progress = this.progress.get(target.name);
    return {
      name: target.name,
      role: view.primary?.target === target.name ? "primary" : "replica",
      state: findTargetState(target, seen),
      status: seen.status,
      freeSlots: queue.countFree(target.name),
      queueMs: queue.estimateWaitMs(target.name),
      ...(progress === undefined ? {} : { progress }),
    };
  }
}

/** Determines whether a target takes new work, and why not. */
export function findTargetState(
  target: Target,
  seen: TargetView | undefined,
): "serving" | "leaving" | "unreachable" {
  if (target.isLeaving === true) return "leaving";
  if (seen === undefined || seen.missedProbes >= unreachableAfterMissed) return "unreachable";
  return "serving";
}

/** Whether a target's log, as last reported, contains the writes that a session must see. */
export function hasMark(view: GroupView, target: string, mark: Mark | undefined): boolean {
  if (mark === undefined) return true;
  const seen = view.targets[target];
  if (seen === undefined) return false;
  return findMarkCoverage(seen.status.lineage, seen.status.mark, mark).type === "reached";
}
