import { succeed } from "../../model/index.js";
import { beginElection } from "./elect.js";
import type { FailoverEffect, PeerFinding } from "./event.js";
import { hasMajority } from "./leader.js";
import { lonelyRounds } from "./options.js";
import {
  type FailoverState,
  getAllowance,
  type Phase,
  type Step,
  type Suspect,
  withPhase,
} from "./state.js";

type Suspecting = Extract<Phase, { type: "suspecting" }>;

/**
 * Checks a silent primary on a new connection and through other VMs, at the same time. A connection
 * can go silent for good while new ones work, and this VM may be the one that is cut off: without
 * the checks each would cost the group a needless change of primary.
 */
export function beginSuspicion(
  state: FailoverState,
  suspect: Suspect,
  why: string,
  at: number,
  { round, isCutOff }: Pick<Suspecting, "round" | "isCutOff"> = { round: 1, isCutOff: false },
): Step {
  const target = suspect.primary;
  const { confirmMs, peerHopMs } = state.options.timings;
  const timeoutMs = Math.max(confirmMs, getAllowance(state, target));
  const phase: Suspecting = {
    ...pickSuspect(suspect),
    type: "suspecting",
    round,
    until: at + timeoutMs + 2 * peerHopMs,
    isMissed: false,
    isCutOff,
  };
  const checks: FailoverEffect[] = [
    { type: "probe", target, timeoutMs },
    { type: "askPeers", target, timeoutMs: timeoutMs + peerHopMs },
  ];
  const note = { type: "note", note: { type: "suspected", target, why } } as const;
  return succeed(withPhase(state, phase), [note, ...checks]);
}

/** The new connection brought no answer. */
export function recordMissedProbe(state: FailoverState, phase: Suspecting, at: number): Step {
  return resolveSuspicion(state, { ...phase, isMissed: true }, at);
}

/** Other VMs have answered. */
export function recordFinding(
  state: FailoverState,
  phase: Suspecting,
  finding: PeerFinding,
  at: number,
): Step {
  return resolveSuspicion(state, { ...phase, finding }, at);
}

/** The checks took too long, as after a pause of this process: they count as failed. */
export function endSuspicion(state: FailoverState, phase: Suspecting, at: number): Step {
  return resolveSuspicion(
    state,
    { ...phase, isMissed: true, finding: phase.finding ?? "silent" },
    at,
  );
}

function resolveSuspicion(state: FailoverState, phase: Suspecting, at: number): Step {
  const next = withPhase(state, phase);
  if (!phase.isMissed || phase.finding === undefined) return succeed(next);
  if (phase.finding === "reached") return beginCutOff(next, phase, "other VMs reach it", at);
  if (!hasMajority(next, phase.primary)) {
    return beginCutOff(next, phase, "no majority of targets answers here", at);
  }
  if (phase.finding === "silent" && phase.round < lonelyRounds) {
    const again = { round: phase.round + 1, isCutOff: phase.isCutOff };
    return beginSuspicion(next, phase, "no other VM answers", at, again);
  }
  return beginElection(next, "primaryFailed", at, phase.primary);
}

function beginCutOff(state: FailoverState, suspect: Suspect, why: string, at: number): Step {
  const until = at + state.options.timings.cutOffMs;
  const note = { type: "note", note: { type: "cutOff", target: suspect.primary, why } } as const;
  return succeed(withPhase(state, { ...pickSuspect(suspect), type: "cutOff", until }), [note]);
}

function pickSuspect({ primary, term }: Suspect): Suspect {
  return { primary, ...(term === undefined ? {} : { term }) };
}
