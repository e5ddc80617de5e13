import { isLeading } from "../controller/failover/index.js";
import type { Mark, Term } from "../model/index.js";
import type { TimedResult } from "./freshstatus.js";

/** What a fresh look at a primary after a commit brought. */
export type MarkReading =
  /** `askedAt` is when the request was sent, for `confirm`. */
  | { readonly type: "read"; readonly term: Term; readonly mark: Mark; readonly askedAt: number }
  /** It leads no more: what was committed there may be lost. */
  | { readonly type: "notPrimary"; readonly fencedAt: Term }
  | { readonly type: "unreachable"; readonly reason: string };

/** What a fresh answer says of a target that was thought to be primary. */
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
