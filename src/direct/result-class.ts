import type { Effect } from "../model/index.js";
import { isNotRun, type CommandResult, type ErrorCode } from "../statement/index.js";

/** How to proceed after a result of a statement outside a transaction. */
export type ResultClass =
  | { readonly type: "done" }
  /** It did not run, or running it twice is harmless: it may be retried. */
  | { readonly type: "retry"; readonly reason: ErrorCode | "broken"; readonly isNotRun: boolean }
  /** It may have taken effect and must not be sent again. */
  | { readonly type: "inDoubt"; readonly reason: string };

/**
 * Classifies a result. A write whose connection broke may have been committed. Retrying it could apply it
 * twice, so the caller is told that it may have run. A read has no effect and can be retried.
 */
export function classifyResult(result: CommandResult, effect: Effect): ResultClass {
  if (result.type === "broken") {
    if (!result.sent) return { type: "retry", reason: "broken", isNotRun: true };
    if (effect === "read") return { type: "retry", reason: "broken", isNotRun: false };
    return { type: "inDoubt", reason: result.reason };
  }
  const { end } = result.reply;
  if (end.type === "complete") return { type: "done" };
  if (isRetryable(end.code)) return { type: "retry", reason: end.code, isNotRun: true };
  if (effect === "read" && !isNotRun(end.code)) {
    return { type: "retry", reason: end.code, isNotRun: false };
  }
  return { type: "done" };
}

/** Whether another target, or the same one a moment later, may accept the statement. */
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
