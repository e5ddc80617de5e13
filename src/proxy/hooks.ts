import type { Metrics } from "../metric/index.js";
import type { OwnerHooks } from "../owner/index.js";

const msPerSecond = 1000;

/** Creates hooks that record requests, queue waits and failovers of the owned groups as metrics. */
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
    onFailover(group, gapMs, phases) {
      metrics.recordFailover({
        group,
        gapSeconds: gapMs / msPerSecond,
        phaseSeconds: {
          detect: phases.detectingMs / msPerSecond,
          fence: phases.fencingMs / msPerSecond,
          promote: phases.promotingMs / msPerSecond,
          firstWrite: phases.firstWriteMs / msPerSecond,
        },
      });
    },
  };
}
