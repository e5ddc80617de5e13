import {
  emptyHistory,
  observePrimary,
  observeReplica,
  type PositionHistory,
  type Progress,
  type ReadScene,
  type ReadTarget,
} from "../policy/index.js";
import {
  compareMarks,
  type Group,
  type GroupView,
  type Mark,
  type Target,
  type TargetView,
} from "../model/index.js";

/** From this many missed probes on a target gets no new work. */
const unreachableAfterMissed = 2;

/** What the router asks of the group's queue. */
export interface RoutingQueue {
  countFree(target: string): number;
  /** The wait for a slot of one target, in milliseconds. */
  estimateWaitMs(target: string): number;
}

/** Keeps what the router needs to know beyond the latest view: positions over time. */
export class RoutingTracker {
  private history: PositionHistory = emptyHistory;
  private readonly progress = new Map<string, Progress>();

  constructor(
    private group: Group,
    /** The latest time at which the view's primary is known to have had a majority with it. */
    private readonly findMajorityConfirmedAt: (
      view: GroupView,
      targets: readonly string[],
    ) => number | undefined,
  ) {}

  setGroup(group: Group): void {
    this.group = group;
  }

  /** Takes a new view into account. */
  observe(view: GroupView): void {
    this.recordPrimary(view);
    for (const target of this.group.targets) {
      const seen = view.targets[target.name];
      if (seen === undefined || target.name === view.primary?.target) continue;
      const progress = observeReplica(this.progress.get(target.name), seen, this.history);
      this.progress.set(target.name, progress);
    }
  }

  /** Builds what the router looks at. */
  buildReadScene(view: GroupView, queue: RoutingQueue, now: number): ReadScene {
    const targets = this.group.targets.flatMap((target) => {
      const seen = view.targets[target.name];
      return seen === undefined ? [] : [this.buildTarget(target, seen, view, queue)];
    });
    return { now, targets, history: this.history };
  }

  /**
   * A superseded primary goes on reporting an end of the log that is no longer the group's, and ages
   * told from it would be too small. A sighting counts only as of when a majority backed it.
   */
  private recordPrimary(view: GroupView): void {
    const names = this.group.targets.map((t) => t.name);
    const backedAt = this.findMajorityConfirmedAt(view, names);
    const seen = view.primary && view.targets[view.primary.target];
    if (seen === undefined || backedAt === undefined) return;
    const askedAt = Math.min(seen.askedAt, backedAt);
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

/** Whether a target takes new work. */
export function findTargetState(
  target: Target,
  seen: TargetView | undefined,
): "serving" | "leaving" | "unreachable" {
  if (target.isLeaving === true) return "leaving";
  if (seen === undefined || seen.missedProbes >= unreachableAfterMissed) return "unreachable";
  return "serving";
}

/** Whether a target's log, as last reported, holds what a session must see. */
export function hasMark(view: GroupView, target: string, mark: Mark | undefined): boolean {
  if (mark === undefined) return true;
  const seen = view.targets[target];
  if (seen === undefined) return false;
  return compareMarks(seen.status.lineage, seen.status.mark, mark).type === "reached";
}
