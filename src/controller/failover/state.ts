import {
  type Applied,
  compareTerms,
  countMajority,
  firstTerm,
  type TargetStatus,
  type TargetView,
  type Term,
} from "../../model/index.js";
import type { ElectionReason, FailoverEffect, PeerFinding } from "./event.js";
import { type FailoverOptions, latenessToleranceFactor } from "./options.js";

/** A primary that this controller believes in. */
export interface Leadership {
  readonly primary: string;
  readonly term: Term;
}

/** A silent target; without a term where it is only thought that it may be the primary. */
export interface Suspect {
  readonly primary: string;
  readonly term?: Term;
}

/** Where a group's failover stands at one VM. */
export type FailoverPhase =
  /** Nothing is known yet. */
  | { readonly type: "searching"; readonly until: number }
  | ({ readonly type: "steady"; readonly strayFenceSince?: number } & Leadership)
  /** The primary is silent; a new connection and other VMs are tried. */
  | ({
      readonly type: "suspecting";
      readonly probeRound: number;
      readonly until: number;
      readonly hasProbeFailed: boolean;
      /** An earlier check found that this observer has no standing; this one has not ended. */
      readonly wasCutOff: boolean;
      readonly peerFinding?: PeerFinding;
    } & Suspect)
  /** The primary is silent, and this observer has no standing to fence it. */
  | ({ readonly type: "cutOff"; readonly until: number } & Suspect)
  /** After an election that failed, or while a rival's may be under way. */
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

/** What is known of one target. */
export interface TargetHealth {
  readonly view?: TargetView;
  readonly missedAnswers: number;
  /** Recent slowness, fading. */
  readonly latenessMs: number;
  /** When it was last told to follow. */
  readonly followRequestedAt: number;
}

/** The state of one group's failover at one VM. */
export interface FailoverState {
  readonly options: FailoverOptions;
  readonly phase: FailoverPhase;
  readonly targets: Readonly<Record<string, TargetHealth | undefined>>;
  /** The highest term seen or opened: the next one opened is higher. */
  readonly highestTerm: Term;
  /** Elections in a row that brought no primary. */
  readonly failedElections: number;
  /** A target that is to lose its role, and until when that is tried. */
  readonly plannedSwitch?: { readonly target: string; readonly until: number };
}

/** The result of a step that can't fail. */
export type Step = Extract<Applied<FailoverState, FailoverEffect>, { type: "applied" }>;

const unheardTarget: TargetHealth = {
  missedAnswers: 0,
  latenessMs: 0,
  followRequestedAt: -Infinity,
};

/** The state at the start: no target has been heard. */
export function createFailoverState(options: FailoverOptions, at: number): FailoverState {
  return {
    options,
    phase: { type: "searching", until: at + options.timings.searchTimeoutMs },
    targets: {},
    highestTerm: firstTerm,
    failedElections: 0,
  };
}

/** What is known of a target; of one never heard, nothing. */
export function getTargetHealth(state: FailoverState, target: string): TargetHealth {
  return state.targets[target] ?? unheardTarget;
}

/** The state with other knowledge of a target. */
export function withTargetHealth(
  state: FailoverState,
  target: string,
  change: Partial<TargetHealth>,
): FailoverState {
  const health = { ...getTargetHealth(state, target), ...change };
  return { ...state, targets: { ...state.targets, [target]: health } };
}

/** The state in another phase. */
export function withPhase(state: FailoverState, phase: FailoverPhase): FailoverState {
  return { ...state, phase };
}

/** The state with a term taken into account. */
export function withObservedTerm(state: FailoverState, term: Term): FailoverState {
  return compareTerms(term, state.highestTerm) > 0 ? { ...state, highestTerm: term } : state;
}

/** A majority of the group's targets. */
export function getMajoritySize(state: FailoverState): number {
  return countMajority(state.options.targets.length);
}

/** How late an answer of the target may be: more for one that has been slow of late. */
export function getLatenessTolerance(state: FailoverState, target: string): number {
  const { minLatenessToleranceMs, maxLatenessToleranceMs } = state.options.timings;
  const scaledLatenessMs = latenessToleranceFactor * getTargetHealth(state, target).latenessMs;
  return Math.min(maxLatenessToleranceMs, Math.max(minLatenessToleranceMs, scaledLatenessMs));
}

/** Until when the primary's next answer is waited for. */
export function findAnswerDeadline(state: FailoverState, primary: string): number {
  const answeredAt = getTargetHealth(state, primary).view?.answeredAt ?? -Infinity;
  return answeredAt + state.options.timings.heartbeatMs + getLatenessTolerance(state, primary);
}
