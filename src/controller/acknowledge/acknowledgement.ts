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
interface ConfirmationRound {
  readonly since: number;
  readonly confirmers: readonly string[];
}

/** What is known of a write that waits. */
export type AcknowledgementState = Readonly<{
  write: PendingWrite;
  targets: readonly string[];
  safeguards: AcknowledgeSafeguards;
  /** Replicas that hold the write in its term. */
  holders: readonly string[];
  confirmationRound?: ConfirmationRound;
  outcome: "waiting" | "confirmed" | "superseded";
  /** Targets that were seen fenced past the term. */
  fencedPastTerm: readonly string[];
}>;

/** An answer of a target, and when it was asked for and came. */
export interface StatusAnswer {
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
    fencedPastTerm: [],
  };
  const isPrimaryEnough = write.mode === "replicated" && countRequired(state) === 1;
  if (write.mode === "replicated" && !isPrimaryEnough) return succeed(state);
  return beginConfirmationRound(state, write.committedAt, []);
}

/** Takes an answer into account. */
export function applyStatusAnswer(state: AcknowledgementState, answer: StatusAnswer): Result {
  if (state.outcome !== "waiting") return succeed(state);
  const { status } = answer;
  const { term, primary } = state.write;
  if (compareTerms(status.fencedAt, term) > 0) return recordFencedTarget(state, status.target);
  if (status.target === primary && status.role === "replica") {
    return succeed({ ...state, outcome: "superseded" });
  }
  if (state.confirmationRound !== undefined)
    return recordConfirmation(state, state.confirmationRound, answer);
  return recordHolder(state, answer);
}

/**
 * The primary itself, or so many targets that no majority can confirm, are past the term. What
 * becomes of the write is the next primary's to tell; this one must not vouch for it.
 */
function recordFencedTarget(state: AcknowledgementState, target: string): Result {
  const fencedPastTerm = [...state.fencedPastTerm.filter((t) => t !== target), target];
  const toleratedCount = state.targets.length - countMajority(state.targets.length);
  const isSuperseded = target === state.write.primary || fencedPastTerm.length > toleratedCount;
  return succeed({ ...state, fencedPastTerm, outcome: isSuperseded ? "superseded" : "waiting" });
}

/** What a replica holds it held when it answered, whenever it was asked: the mark is the proof. */
function recordHolder(state: AcknowledgementState, { status, answeredAt }: StatusAnswer): Result {
  const { write } = state;
  const reach = compareMarks(status.lineage, status.mark, write.mark);
  if (status.role === "primary" || reach.type !== "reached") return succeed(state);
  const holders = [...state.holders.filter((t) => t !== status.target), status.target];
  const next = { ...state, holders };
  if (holders.length + 1 < countRequired(state)) return succeed(next);
  return beginConfirmationRound(next, answeredAt, [status.target]);
}

/**
 * The commit's own reply does not count as the primary's confirmation: the primary and another
 * replica may have been fenced between that reply and the last replica's answer, and a superseded
 * primary would acknowledge. So the primary is asked again after that answer.
 */
function beginConfirmationRound(
  state: AcknowledgementState,
  since: number,
  confirmers: readonly string[],
): Result {
  if (!state.safeguards.freshness && state.write.mode === "replicated") {
    return succeed({ ...state, outcome: "confirmed" });
  }
  const targets = state.targets.filter(
    (t) => !confirmers.includes(t) && !state.fencedPastTerm.includes(t),
  );
  return succeed({ ...state, confirmationRound: { since, confirmers } }, [
    { type: "ask", targets },
  ]);
}

function recordConfirmation(
  state: AcknowledgementState,
  round: ConfirmationRound,
  answer: StatusAnswer,
): Result {
  const { target } = answer.status;
  const isFresh = answer.askedAt >= round.since || !state.safeguards.freshness;
  if (!isFresh || round.confirmers.includes(target)) return succeed(state);
  const confirmers = [...round.confirmers, target];
  const isConfirmed =
    confirmers.length >= countRequired(state) && confirmers.includes(state.write.primary);
  return succeed({
    ...state,
    confirmationRound: { ...round, confirmers },
    outcome: isConfirmed ? "confirmed" : "waiting",
  });
}

function countRequired(state: AcknowledgementState): number {
  return state.safeguards.confirmMajority ? countMajority(state.targets.length) : 1;
}
