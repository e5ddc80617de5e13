import type {
  Outcome,
  Request,
  NotRunReason,
  Target,
  TargetSession,
  Term,
} from "../model/index.js";
import type { HeldAnswer } from "./answer.js";

/** Where a request runs: a target in its role, and the connection that carries it. */
export interface PlacedConnection {
  readonly target: Target;
  readonly role: "primary" | "replica";
  /** The term in which the owner took the target for the primary when the request was placed. */
  readonly term: Term | undefined;
  readonly session: TargetSession;
}

/** Notes where a try of a request was placed, for the filters outside of the placing ones. */
export class LatestPlacement {
  private latest: PlacedConnection | undefined;

  /** The latest place; a retry may have found another than the try before. */
  get current(): PlacedConnection | undefined {
    return this.latest;
  }

  record(place: PlacedConnection): void {
    this.latest = place;
  }
}

/** A request on its way through the owner's filters. */
export interface ServeContext {
  readonly request: Request;
  readonly messages: Uint8Array;
  readonly answer: HeldAnswer;
  /** Aborts at the request's deadline, or when its caller goes away. */
  readonly signal: AbortSignal;
  /** Counts the tries at the owner, from 1. */
  readonly attempt: number;
  /** Milliseconds until the request's deadline. */
  readonly timeLeftMs: () => number;
  readonly placement: LatestPlacement;
  /** The target whose slot the request holds. */
  readonly slotTarget?: string;
  readonly placedConnection?: PlacedConnection;
}

/** The place of a request that was given one; filters after the routing rely on it. */
export function getPlacedConnection(context: ServeContext): PlacedConnection {
  if (context.placedConnection === undefined)
    throw new Error("the request was not given a target yet");
  return context.placedConnection;
}

/** Builds the outcome of a request that has not run and will not. */
export function refuse(reason: NotRunReason, retryAfterMs: number, message: string): Outcome {
  return { type: "failed", verdict: { type: "notRun", reason, retryAfterMs }, message };
}

/** Builds the outcome of a request of which nobody can tell whether it ran. */
export function failUnknown(reason: string): Outcome {
  return { type: "failed", verdict: { type: "mayHaveRun", reason }, message: reason };
}
