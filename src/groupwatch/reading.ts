import { isLeading } from "../controller/failover/index.js";
import type { Mark, Term } from "../model/index.js";
import type { TimedResult } from "./freshstatus.js";

/** The result of a status request sent to a primary after a commit. */
export type MarkReading =
  /** `askedAt` is when the request was sent; it is passed to `confirm`. */
  | { readonly type: "read"; readonly term: Term; readonly mark: Mark; readonly askedAt: number }
  /** The target is no longer primary; commits made there may be lost. */
  | { readonly type: "notPrimary"; readonly fencedAt: Term }
  | { readonly type: "unreachable"; readonly reason: string };

/** Interprets the answer of a target that was believed to be primary. */
export function interpretStatus({ askedAt, result }: TimedResult): MarkReading {
  switch (result.type) {
    case "unreachable":
      return result;
    case "refused":
      return { type: "notPrimary", fencedAt: result.fencedAt };
    case "accepted": {
      const { status } = result;
      const { mark, fencedAt } = status;
      if (!isLeading(status)) return { type: "notPrimary", fencedAt };
      return { type: "read", term: mark.term, mark, askedAt };
    }
  }
}
