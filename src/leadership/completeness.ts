import { compareMarkOrder } from "../model/index.js";
import type { TargetReport } from "../statement/index.js";
import type { Candidate } from "./decide.js";

/** Whether a target has received all that another one had when it reported. */
export function hasReceived(report: TargetReport, { received }: TargetReport): boolean {
  return compareMarkOrder(report.received, received) >= 0;
}

/** Lists the candidates that have received no less than any other. */
export function listLongest(candidates: readonly Candidate[]): readonly Candidate[] {
  return candidates.filter((a) => candidates.every((b) => hasReceived(a.report, b.report)));
}
