import type { StatementSample } from "../direct/index.js";
import type { Metrics } from "../metric/index.js";

/** Records the end of a caller's statement in the metrics. */
export function recordStatement(metrics: Metrics, sample: StatementSample): void {
  const { outcome, effect, role, group, ms, level, isObjectiveMissed } = sample;
  metrics.recordStatement(outcome, ms / 1000);
  if (level !== undefined && isObjectiveMissed === true)
    metrics.levels.recordObjectiveMissed(group, level);
  if (outcome === "answered" && effect === "read" && role !== "none") {
    metrics.recordRead(group, role);
  }
}
