import { pickLaterMark, type Mark, type Team } from "../model/index.js";
import type { DirectGroup } from "./group.js";
import type { DirectPorts } from "./ports.js";
import type { Database } from "./serving-config.js";
import type { StatementTrace } from "./trace.js";

/** What a statement's run knows of its session. */
export interface SessionContext {
  readonly ports: DirectPorts;
  readonly session: string;
  readonly database: Database;
  /** Whose statement it is; absent where it is nobody's in particular. */
  readonly team: Team | undefined;
  readonly group: DirectGroup;
  readonly values: ReadonlyMap<string, string>;
  /** The newest commit that the session was told of; absent when it has written nothing. */
  readonly lastCommit: Mark | undefined;
  /** Aborts when the caller has gone: what has not begun need not begin. */
  readonly disconnectSignal: AbortSignal;
  /** What decided the statement that runs now. */
  readonly trace: StatementTrace;
  /** Makes ids that no other try of this process has. */
  readonly nextId: () => string;
}

/** How much fresher than asked the required mark is, for the way back to the caller's clock. */
const ageMarginMs = 100;

/** What a read needs of its target: the primary itself, or a mark that a replica must hold. */
export type ReadRequirement =
  { readonly type: "primary" } | { readonly type: "replica"; readonly atLeast: Mark };

/**
 * What makes a read that arrived at `arrivedAt` fresh enough. A replica's data counts as young
 * enough only if it holds a mark at which the primary was seen within the allowed age. Without such
 * a sighting the primary answers, which brings one.
 */
export function findReadRequirement(context: SessionContext, arrivedAt: number): ReadRequirement {
  const { route } = context.database.action;
  if (route.type === "primary") return { type: "primary" };
  if (route.maxAgeMs === undefined) {
    return context.lastCommit === undefined
      ? { type: "primary" }
      : { type: "replica", atLeast: context.lastCommit };
  }
  const known = context.group.findMarkSince(arrivedAt - route.maxAgeMs + ageMarginMs);
  if (known === undefined) return { type: "primary" };
  const atLeast =
    context.lastCommit === undefined ? known : pickLaterMark(known, context.lastCommit);
  return { type: "replica", atLeast };
}
