import {
  type StepResult,
  compareTerms,
  countMajority,
  firstTerm,
  type TargetStatus,
  type TargetView,
  type Term,
} from "../../model/index.js";
import type { ElectionReason, FailoverEffect, PeerFinding } from "./event.js";
import { type FailoverOptions, latenessToleranceFactor } from "./options.js";

/** The primary that this controller assumes, with its term. */
export interface Leadership {
  readonly primary: string;
  readonly term: Term;
}

/** A silent target. The term is absent when the target is only assumed to be the primary. */
export interface Suspect {
  readonly primary: string;
  readonly term?: Term;
}

/** The phase of a group's failover as seen from one VM. */
export type FailoverPhase =
  /** No primary is known yet. */
  | { readonly type: "searching"; readonly until: number }
  /** A primary is known. `strayFenceSince` is set while a target is fenced past its term. */
  | ({ readonly type: "steady"; readonly strayFenceSince?: number } & Leadership)
  /** The primary is silent and is being checked on a new connection and through other VMs. */
  | ({
      readonly type: "suspecting";
      readonly probeRound: number;
      readonly until: number;
      readonly hasProbeFailed: boolean;
      /** The last finished check ended in `cutOff`, and this one has not finished. */
      readonly wasCutOff: boolean;
      readonly peerFinding?: PeerFinding;
    } & Suspect)
  /** The primary is silent here, but the observer seems to be cut off and may not fence it. */
  | ({ readonly type: "cutOff"; readonly until: number } & Suspect)
  /** Backing off after a failed election or while a rival's election may be in progress. */
  | { readonly type: "waiting"; readonly until: number; readonly suspect?: string }
  | {
      readonly type: "fencing";
      readonly term: Term;
      readonly reason: ElectionReason;
      readonly until: number;
      readonly suspect?: string;
      readonly fenced: readonly TargetStatus[];
      readonly unreachable: readonly string[];
    }
  | {
      readonly type: "promoting";
      readonly term: Term;
      readonly candidate: TargetStatus;
      readonly otherCandidates: readonly TargetStatus[];
      readonly attempts: number;
      readonly until: number;
    };

/** What is known about one target. */
export interface TargetHealth {
  readonly view?: TargetView;
  readonly missedAnswers: number;
  /** How late recent answers came; decays with each answer. */
  readonly latenessMs: number;
  /** When it was last sent a follow request. */
  readonly followRequestedAt: number;
}

/** The immutable state of one group's failover at one VM. */
export interface FailoverState {
  readonly options: FailoverOptions;
  readonly phase: FailoverPhase;
  readonly targets: Readonly<Record<string, TargetHealth | undefined>>;
  /** The highest term seen or opened. The next term opened is higher. */
  readonly highestTerm: Term;
  /** Consecutive elections that ended without a primary. */
  readonly failedElections: number;
  /** The target whose primary role is to move to another, and until when that is attempted. */
  readonly plannedSwitch?: { readonly target: string; readonly until: number };
}

/** The result of a transition that can't fail. */
export type Step = Extract<StepResult<FailoverState, FailoverEffect>, { type: "applied" }>;

const unheardTarget: TargetHealth = {
  missedAnswers: 0,
  latenessMs: 0,
  followRequestedAt: -Infinity,
};

/** Creates the initial state, in which no target has answered. */
export function createFailoverState(options: FailoverOptions, at: number): FailoverState {
  return {
    options,
    phase: { type: "searching", until: at + options.timings.searchTimeoutMs },
    targets: {},
    highestTerm: firstTerm,
    failedElections: 0,
  };
}

/** The health of a target, or that of an unknown one when it has never answered. */
export function getTargetHealth(state: FailoverState, target: string): TargetHealth {
  return state.targets[target] ?? unheardTarget;
}

/** Returns the state with changes to a target's health. */
export function withTargetHealth(
  state: FailoverState,
  target: string,
  change: Partial<TargetHealth>,
): FailoverState {
  const health = { ...getTargetHealth(state, target), ...change };
  return { ...state, targets: { ...state.targets, [target]: health } };
}

/** Returns the state in another phase. */
export function withPhase(state: FailoverState, phase: FailoverPhase): FailoverState {
  return { ...state, phase };
}

/** Returns the state with `highestTerm` raised to `term` where that is higher. */
export function withObservedTerm(state: FailoverState, term: Term): FailoverState {
  return compareTerms(term, state.highestTerm) > 0 ? { ...state, highestTerm: term } : state;
}

/** The number of targets that form a majority of the group. */
export function getMajoritySize(state: FailoverState): number {
  return countMajority(state.options.targets.length);
}

/**
 * How late the target's answer may be, in milliseconds. It is more when recent answers were late.
 */
export function getLatenessTolerance(state: FailoverState, target: string): number {
  const { minLatenessToleranceMs, maxLatenessToleranceMs } = state.options.timings;
  const scaledLatenessMs = latenessToleranceFactor * getTargetHealth(state, target).latenessMs;
  return Math.min(maxLatenessToleranceMs, Math.max(minLatenessToleranceMs, scaledLatenessMs));
}

/** The time after which the primary counts as silent. */
export function findAnswerDeadline(state: FailoverState, primary: string): number {
  const answeredAt = getTargetHealth(state, primary).view?.answeredAt ?? -Infinity;
  return answeredAt + state.options.timings.heartbeatMs + getLatenessTolerance(state, primary);
}
