import {
  type Acknowledgement,
  type Applied,
  compareMarks,
  compareTerms,
  countMajority,
  fail,
  type Mark,
  succeed,
  type TargetStatus,
  type Term,
} from "../../model/index.js";
import type { AcknowledgeSafeguards } from "./options.js";

/** A committed write that waits to be acknowledged. */
export interface PendingWrite {
  readonly primary: string;
  /** The term in which the write was sent to the primary. */
  readonly term: Term;
  /** A position of the primary at or after the write's commit record. */
  readonly mark: Mark;
  readonly mode: Acknowledgement;
  /** When the commit was known here: what is asked from then on is asked after the commit. */
  readonly committedAt: number;
}

/**
 * Members of a majority that were seen unfenced at `since` or later. Fences only grow, so whoever is
 * unfenced in an answer to a request sent after `since` was unfenced at `since`: once a majority
 * has answered so, no other majority was fenced at that instant.
 */
interface Closing {
  readonly since: number;
  readonly closers: readonly string[];
}

/** What is known of a write that waits. */
export type AcknowledgementState = Readonly<{
  write: PendingWrite;
  targets: readonly string[];
  safeguards: AcknowledgeSafeguards;
  /** Replicas that hold the write in its term. */
  holders: readonly string[];
  closing?: Closing;
  outcome: "waiting" | "confirmed" | "superseded";
  /** Targets that were seen fenced past the term. */
  past: readonly string[];
}>;

/** An answer of a target, and when it was asked for and came. */
export interface Evidence {
  readonly status: TargetStatus;
  readonly askedAt: number;
  readonly answeredAt: number;
}

/** Asks for fresh answers of targets, in requests sent from now on. */
export interface AskEffect {
  readonly type: "ask";
  readonly targets: readonly string[];
}

type Result = Applied<AcknowledgementState, AskEffect>;

/** Begins to wait. Fails for a mark of another term, which proves nothing about a write of `term`. */
export function beginAcknowledgement(
  write: PendingWrite,
  targets: readonly string[],
  safeguards: AcknowledgeSafeguards,
): Result {
  if (compareTerms(write.mark.term, write.term) !== 0) return fail("the mark is of another term");
  const state: AcknowledgementState = {
    write,
    targets,
    safeguards,
    holders: [],
    outcome: "waiting",
    past: [],
  };
  const isAlone = write.mode === "replicated" && countNeeded(state) === 1;
  if (write.mode === "replicated" && !isAlone) return succeed(state);
  return beginClosing(state, write.committedAt, []);
}

/** Takes an answer into account. */
export function applyEvidence(state: AcknowledgementState, evidence: Evidence): Result {
  if (state.outcome !== "waiting") return succeed(state);
  const { status } = evidence;
  const { term, primary } = state.write;
  if (compareTerms(status.fencedAt, term) > 0) return notePast(state, status.target);
  if (status.target === primary && status.role === "replica") {
    return succeed({ ...state, outcome: "superseded" });
  }
  if (state.closing !== undefined) return noteCloser(state, state.closing, evidence);
  return noteHolder(state, evidence);
}

/**
 * The primary itself, or so many targets that no majority can confirm, are past the term. What
 * becomes of the write is the next primary's to tell; this one must not vouch for it.
 */
function notePast(state: AcknowledgementState, target: string): Result {
  const past = [...state.past.filter((t) => t !== target), target];
  const spare = state.targets.length - countMajority(state.targets.length);
  const isOver = target === state.write.primary || past.length > spare;
  return succeed({ ...state, past, outcome: isOver ? "superseded" : "waiting" });
}

/** What a replica holds it held when it answered, whenever it was asked: the mark is the proof. */
function noteHolder(state: AcknowledgementState, { status, answeredAt }: Evidence): Result {
  const { write } = state;
  const reach = compareMarks(status.lineage, status.mark, write.mark);
  if (status.role === "primary" || reach.type !== "reached") return succeed(state);
  const holders = [...state.holders.filter((t) => t !== status.target), status.target];
  const next = { ...state, holders };
  if (holders.length + 1 < countNeeded(state)) return succeed(next);
  return beginClosing(next, answeredAt, [status.target]);
}

/**
 * The commit's own reply does not count as the primary's confirmation: the primary and another
 * replica may have been fenced between that reply and the last replica's answer, and a superseded
 * primary would acknowledge. So the primary is asked again after that answer.
 */
function beginClosing(
  state: AcknowledgementState,
  since: number,
  closers: readonly string[],
): Result {
  if (!state.safeguards.freshness && state.write.mode === "replicated") {
    return succeed({ ...state, outcome: "confirmed" });
  }
  const targets = state.targets.filter((t) => !closers.includes(t) && !state.past.includes(t));
  return succeed({ ...state, closing: { since, closers } }, [{ type: "ask", targets }]);
}

function noteCloser(state: AcknowledgementState, closing: Closing, evidence: Evidence): Result {
  const { target } = evidence.status;
  const isFresh = evidence.askedAt >= closing.since || !state.safeguards.freshness;
  if (!isFresh || closing.closers.includes(target)) return succeed(state);
  const closers = [...closing.closers, target];
  const isConfirmed = closers.length >= countNeeded(state) && closers.includes(state.write.primary);
  return succeed({
    ...state,
    closing: { ...closing, closers },
    outcome: isConfirmed ? "confirmed" : "waiting",
  });
}

function countNeeded(state: AcknowledgementState): number {
  return state.safeguards.confirmMajority ? countMajority(state.targets.length) : 1;
}
