import type {
  Outcome,
  Request,
  NotRunReason,
  Target,
  TargetSession,
  Term,
} from "../model/index.js";
import type { HeldAnswer } from "./answer.js";

/** The connection that a request runs on, with its target and the target's role. */
export interface PlacedConnection {
  readonly target: Target;
  readonly role: "primary" | "replica";
  /** The term whose primary the owner considered the target to be when it placed the request. */
  readonly term: Term | undefined;
  readonly session: TargetSession;
}

/** Records where a request was placed, for the filters outside the placing ones in the chain. */
export class LatestPlacement {
  private latest: PlacedConnection | undefined;

  /** The latest connection; a retry may be placed on another target than the attempt before. */
  get current(): PlacedConnection | undefined {
    return this.latest;
  }

  record(placed: PlacedConnection): void {
    this.latest = placed;
  }
}

/** A request and its state while it passes through the owner's filters. */
export interface ServeContext {
  readonly request: Request;
  readonly messages: Uint8Array;
  readonly answer: HeldAnswer;
  /** Aborts at the request's deadline, or when its caller disconnects. */
  readonly signal: AbortSignal;
  /** The number of the attempt at the owner, from 1. */
  readonly attempt: number;
  /** Returns the milliseconds until the request's deadline. */
  readonly timeLeftMs: () => number;
  readonly placement: LatestPlacement;
  /** The target whose slot the request holds; undefined before it has one. */
  readonly slotTarget?: string;
  /** Undefined before the request has a connection. */
  readonly placedConnection?: PlacedConnection;
}

/** Returns the connection of a request that was placed. Throws if it has none yet. */
export function getPlacedConnection(context: ServeContext): PlacedConnection {
  if (context.placedConnection === undefined) throw new Error("the request has no connection yet");
  return context.placedConnection;
}

/** Builds the outcome of a request that has not run and will not run. */
export function refuse(reason: NotRunReason, retryAfterMs: number, message: string): Outcome {
  return { type: "failed", verdict: { type: "notRun", reason, retryAfterMs }, message };
}

/** Builds the outcome of a request of which it is unknown whether it ran. */
export function failUnknown(reason: string): Outcome {
  return { type: "failed", verdict: { type: "mayHaveRun", reason }, message: reason };
}
