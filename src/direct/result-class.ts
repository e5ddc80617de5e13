import type { Effect } from "../model/index.js";
import { isNotRun, type CommandResult, type ErrorCode } from "../statement/index.js";

/** What follows from the result of a statement outside a transaction. */
export type ResultClass =
  | { readonly type: "done" }
  /** It has not run, or runs twice without harm: another try may follow. */
  | { readonly type: "again"; readonly reason: ErrorCode | "broken"; readonly isNotRun: boolean }
  /** It may have taken effect: it must never be sent again. */
  | { readonly type: "inDoubt"; readonly reason: string };

/**
 * Judges a result. A write whose connection broke may have been committed: sent again it could land
 * twice, so that its caller hears that it may have run. A read has no effect to repeat.
 */
export function classifyResult(result: CommandResult, effect: Effect): ResultClass {
  if (result.type === "broken") {
    if (!result.sent) return { type: "again", reason: "broken", isNotRun: true };
    if (effect === "read") return { type: "again", reason: "broken", isNotRun: false };
    return { type: "inDoubt", reason: result.reason };
  }
  const { end } = result.reply;
  if (end.type === "complete") return { type: "done" };
  if (isRetryable(end.code)) return { type: "again", reason: end.code, isNotRun: true };
  if (effect === "read" && !isNotRun(end.code)) {
    return { type: "again", reason: end.code, isNotRun: false };
  }
  return { type: "done" };
}

/** Refusals that another target, or the same one a moment later, may not give. */
function isRetryable(code: ErrorCode): boolean {
  switch (code) {
    case "busy":
    case "lagging":
    case "readOnly":
    case "wrongTarget":
    case "tooManyConnections":
    case "unknownStatement":
      return true;
    case "aborted":
    case "unknownDatabase":
    case "tooLarge":
    case "malformed":
    case "denied":
    case "failed":
    case "timeout":
    case "inDoubt":
      return false;
  }
}
