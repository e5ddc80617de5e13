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
import { type FailoverOptions, latenessFactor } from "./options.js";

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
export type Phase =
  /** Nothing is known yet. */
  | { readonly type: "searching"; readonly until: number }
  | ({ readonly type: "steady"; readonly strayAt?: number } & Leadership)
  /** The primary is silent; a new connection and other VMs are tried. */
  | ({
      readonly type: "suspecting";
      readonly round: number;
      readonly until: number;
      readonly isMissed: boolean;
      /** An earlier check found that this observer has no standing; this one has not ended. */
      readonly isCutOff: boolean;
      readonly finding?: PeerFinding;
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
      readonly missed: readonly string[];
    }
  | {
      readonly type: "promoting";
      readonly term: Term;
      readonly choice: TargetStatus;
      readonly others: readonly TargetStatus[];
      readonly tries: number;
      readonly until: number;
    };

/** What is known of one target. */
export interface TargetHealth {
  readonly view?: TargetView;
  readonly missed: number;
  /** Recent slowness, fading. */
  readonly latenessMs: number;
  /** When it was last told to follow. */
  readonly toldAt: number;
}

/** The state of one group's failover at one VM. */
export interface FailoverState {
  readonly options: FailoverOptions;
  readonly phase: Phase;
  readonly targets: Readonly<Record<string, TargetHealth | undefined>>;
  /** The highest term seen or opened: the next one opened is higher. */
  readonly highest: Term;
  /** Elections in a row that brought no primary. */
  readonly attempts: number;
  /** A target that is to lose its role, and until when that is tried. */
  readonly switching?: { readonly target: string; readonly until: number };
}

/** The result of a step that can't fail. */
export type Step = Extract<StepResult<FailoverState, FailoverEffect>, { type: "applied" }>;

const unknownTarget: TargetHealth = { missed: 0, latenessMs: 0, toldAt: -Infinity };

/** The state at the start: no target has been heard. */
export function createFailoverState(options: FailoverOptions, at: number): FailoverState {
  return {
    options,
    phase: { type: "searching", until: at + options.timings.searchMs },
    targets: {},
    highest: firstTerm,
    attempts: 0,
  };
}

/** What is known of a target; of one never heard, nothing. */
export function getHealth(state: FailoverState, target: string): TargetHealth {
  return state.targets[target] ?? unknownTarget;
}

/** The state with other knowledge of a target. */
export function withHealth(
  state: FailoverState,
  target: string,
  change: Partial<TargetHealth>,
): FailoverState {
  const health = { ...getHealth(state, target), ...change };
  return { ...state, targets: { ...state.targets, [target]: health } };
}

/** The state in another phase. */
export function withPhase(state: FailoverState, phase: Phase): FailoverState {
  return { ...state, phase };
}

/** The state with a term taken into account. */
export function withTerm(state: FailoverState, term: Term): FailoverState {
  return compareTerms(term, state.highest) > 0 ? { ...state, highest: term } : state;
}

/** A majority of the group's targets. */
export function getMajority(state: FailoverState): number {
  return countMajority(state.options.targets.length);
}

/** How late an answer of the target may be: more for one that has been slow of late. */
export function getAllowance(state: FailoverState, target: string): number {
  const { minAllowanceMs, maxAllowanceMs } = state.options.timings;
  const slowness = latenessFactor * getHealth(state, target).latenessMs;
  return Math.min(maxAllowanceMs, Math.max(minAllowanceMs, slowness));
}

/** Until when the primary's next answer is waited for. */
export function findSilentAt(state: FailoverState, primary: string): number {
  const heardAt = getHealth(state, primary).view?.answeredAt ?? -Infinity;
  return heardAt + state.options.timings.heartbeatMs + getAllowance(state, primary);
}
