import type { Metrics } from "../metric/index.js";
import type { OwnerHooks } from "../owner/index.js";

const msPerSecond = 1000;

/** Counts a process's groups in its metrics. */
export function createMetricHooks(metrics: Metrics): OwnerHooks {
  return {
    onOutcome(request, outcome) {
      const { priority } = request.action;
      if (outcome.type === "failed") {
        const { verdict } = outcome;
        const reason = verdict.type === "notRun" ? { reason: verdict.reason } : {};
        metrics.recordRequest({ verdict: verdict.type, priority, ...reason });
        return;
      }
      metrics.recordRequest({ verdict: "answered", priority });
      const { group, effect, transaction } = request.traits;
      if (effect === "read" && !transaction) metrics.recordRead(group, outcome.servedBy.role);
    },
    onQueueWait(request, waitMs) {
      metrics.recordQueueWait(request.action.priority, waitMs / msPerSecond);
    },
    onGap(group, gapMs, split) {
      metrics.recordFailover({
        group,
        gapSeconds: gapMs / msPerSecond,
        phaseSeconds: {
          detect: split.detectingMs / msPerSecond,
          fence: split.fencingMs / msPerSecond,
          promote: split.promotingMs / msPerSecond,
          firstWrite: split.firstWriteMs / msPerSecond,
        },
      });
    },
  };
}
