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

/** A committed write whose acknowledgement to the caller is pending. */
export interface PendingWrite {
  readonly primary: string;
  /** The term in which the write was sent to the primary. */
  readonly term: Term;
  /** A log position of the primary at or after the write's commit record. */
  readonly mark: Mark;
  readonly mode: Acknowledgement;
  /**
   * When this process learned of the commit. Requests sent from then on are sent after the commit.
   */
  readonly committedAt: number;
}

/**
 * The targets that were confirmed to be unfenced at `since`. A target's fence only ever grows, so a
 * target that is unfenced in its answer to a request sent at `since` or later was unfenced at
 * `since`. Once a majority has answered so, no other majority can have been fenced at that instant.
 */
interface ConfirmationRound {
  readonly since: number;
  readonly confirmers: readonly string[];
}

/** The state of a pending acknowledgement. */
export type AcknowledgementState = Readonly<{
  write: PendingWrite;
  targets: readonly string[];
  safeguards: AcknowledgeSafeguards;
  /** Replicas that have been seen to hold the write in its term. */
  holders: readonly string[];
  confirmationRound?: ConfirmationRound;
  outcome: "waiting" | "confirmed" | "superseded";
  /** Targets that have been seen fenced past the term of the write. */
  fencedPastTerm: readonly string[];
}>;

/** A target's status, with the times when it was requested and received. */
export interface StatusAnswer {
  readonly status: TargetStatus;
  readonly askedAt: number;
  readonly answeredAt: number;
}

/** Asks targets for their status, in requests that are sent from now on. */
export interface AskEffect {
  readonly type: "ask";
  readonly targets: readonly string[];
}

type Result = Applied<AcknowledgementState, AskEffect>;

/**
 * Begins an acknowledgement. Fails for a mark of another term, which proves nothing about a write
 * of `term`.
 */
export function beginAcknowledgement(
  write: PendingWrite,
  targets: readonly string[],
  safeguards: AcknowledgeSafeguards,
): Result {
  if (compareTerms(write.mark.term, write.term) !== 0)
    return fail("the mark is from another term than the write");
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

/** Applies a target's answer. Once the outcome is settled, further answers are ignored. */
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
 * Records that a target is fenced past the term. The write is superseded if that target is the
 * primary, or if so many targets are fenced that no majority can confirm the write. The next
 * primary determines whether the write survives; this one must not acknowledge it.
 */
function recordFencedTarget(state: AcknowledgementState, target: string): Result {
  const fencedPastTerm = [...state.fencedPastTerm.filter((t) => t !== target), target];
  const toleratedCount = state.targets.length - countMajority(state.targets.length);
  const isSuperseded = target === state.write.primary || fencedPastTerm.length > toleratedCount;
  return succeed({ ...state, fencedPastTerm, outcome: isSuperseded ? "superseded" : "waiting" });
}

/**
 * Records a replica that holds the write. The mark in its answer proves that it held the write when
 * it answered, whenever the answer was requested.
 */
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
 * Asks the targets to confirm that they are unfenced. The commit's own reply does not count as the
 * primary's confirmation: the primary and another replica may have been fenced between that reply
 * and the last replica's answer, and a superseded primary would acknowledge the write. So the
 * primary is asked again after that answer.
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
