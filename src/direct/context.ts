import { pickLaterMark, type Mark, type Team } from "../model/index.js";
import type { DirectGroup } from "./group.js";
import type { DirectPorts } from "./ports.js";
import type { RedirectOffer } from "./redirect.js";
import type { Database } from "./serving-config.js";
import type { StatementTrace } from "./trace.js";

/** The session state and dependencies that running one statement needs. */
export interface SessionContext {
  readonly ports: DirectPorts;
  readonly session: string;
  readonly database: Database;
  /** The team that the statement runs for; absent for anonymous callers. */
  readonly team: Team | undefined;
  readonly group: DirectGroup;
  readonly values: ReadonlyMap<string, string>;
  /** The latest commit acknowledged to this session in this group; absent before its first write. */
  readonly lastCommit: Mark | undefined;
  /** Aborts when the caller disconnects, so that queued work is not started. */
  readonly disconnectSignal: AbortSignal;
  /** Records how the current statement was routed and retried, for its log line. */
  readonly trace: StatementTrace;
  /** Generates an id for an attempt that is unique within this process. */
  readonly nextId: () => string;
  /** Lets this process leave the statement to the primary's gateway; absent where it must run here. */
  readonly redirect?: RedirectOffer;
}

/** Tightens the staleness limit to allow for the time that the answer takes to reach the caller. */
const ageMarginMs = 100;

/** What a read requires of its target: that it is the primary, or that its log contains a mark. */
export type ReadRequirement =
  { readonly type: "primary" } | { readonly type: "replica"; readonly atLeast: Mark };

/**
 * Determines which target is fresh enough for a read that arrived at `arrivedAt`. A replica qualifies
 * only if its log contains a mark that the primary reported within the allowed age. If no such mark is
 * known, the read goes to the primary, whose answer provides one.
 */
export function findReadRequirement(
  context: Pick<SessionContext, "database" | "group" | "lastCommit">,
  arrivedAt: number,
): ReadRequirement {
  const { route } = context.database.action;
  if (route.type === "primary") return { type: "primary" };
  if (route.maxAgeMs === undefined) {
    return context.lastCommit === undefined
      ? { type: "primary" }
      : { type: "replica", atLeast: context.lastCommit };
  }
  // A process that was suspended, during which its clock may have stood still, discards its positions by this query.
  context.group.findPrimary();
  const known = context.group.findMarkSince(arrivedAt - route.maxAgeMs + ageMarginMs);
  if (known === undefined) return { type: "primary" };
  const atLeast =
    context.lastCommit === undefined ? known : pickLaterMark(known, context.lastCommit);
  return { type: "replica", atLeast };
}
