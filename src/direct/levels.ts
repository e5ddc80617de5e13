import type { AdmissionRequest } from "../controller/admission/index.js";
import type { ServeAction } from "../model/index.js";
import type { Reply } from "../statement/index.js";
import type { StatementSample } from "./ports.js";

/**
 * The level of a statement for admission, and when its objective ends: it counts from the same moment as the
 * deadline, the statement's arrival. Empty without a level.
 */
export function makeAdmissionLevel(
  { level, objectiveMs, deadlineMs }: ServeAction,
  deadlineAt: number,
): Pick<AdmissionRequest, "level" | "objectiveAt"> {
  if (level === undefined) return {};
  return { level, objectiveAt: deadlineAt - deadlineMs + (objectiveMs ?? deadlineMs) };
}

/** The level as a log field; none without a level. */
export function describeLevel({ level }: ServeAction): { readonly level?: number } {
  return level === undefined ? {} : { level };
}

/** The level of an ended statement, and whether it was answered after the end of its objective. */
export function observeObjective(
  { level, objectiveMs, deadlineMs }: ServeAction,
  { end }: Reply,
  ms: number,
): Pick<StatementSample, "level" | "isObjectiveMissed"> {
  if (level === undefined) return {};
  const isAnswered = end.type === "complete" || end.code === "failed";
  return { level, isObjectiveMissed: isAnswered && ms > (objectiveMs ?? deadlineMs) };
}
