import { succeed } from "../../model/index.js";
import { beginElection } from "./elect.js";
import type { FailoverEffect, PeerFinding } from "./event.js";
import { hasResponsiveMajority } from "./leader.js";
import { probeRoundsWithoutPeers } from "./options.js";
import {
  type FailoverState,
  getLatenessTolerance,
  type FailoverPhase,
  type Step,
  type Suspect,
  withPhase,
} from "./state.js";

type Suspecting = Extract<FailoverPhase, { type: "suspecting" }>;

/**
 * Checks a silent primary on a new connection and through other VMs, in parallel. A connection can
 * hang while new ones work, and this VM may itself be cut off. Without the checks, either case
 * would cause an unnecessary failover.
 */
export function beginSuspicion(
  state: FailoverState,
  suspect: Suspect,
  why: string,
  at: number,
  { probeRound, wasCutOff }: Pick<Suspecting, "probeRound" | "wasCutOff"> = {
    probeRound: 1,
    wasCutOff: false,
  },
): Step {
  const target = suspect.primary;
  const { confirmMs, peerOverheadMs } = state.options.timings;
  const timeoutMs = Math.max(confirmMs, getLatenessTolerance(state, target));
  const phase: Suspecting = {
    ...pickSuspect(suspect),
    type: "suspecting",
    probeRound,
    until: at + timeoutMs + 2 * peerOverheadMs,
    hasProbeFailed: false,
    wasCutOff,
  };
  const checks: FailoverEffect[] = [
    { type: "probe", target, timeoutMs },
    { type: "askPeers", target, timeoutMs: timeoutMs + peerOverheadMs },
  ];
  const note = { type: "note", note: { type: "suspected", target, why } } as const;
  return succeed(withPhase(state, phase), [note, ...checks]);
}

/** Records that the probe on a new connection failed. */
export function recordMissedProbe(state: FailoverState, phase: Suspecting, at: number): Step {
  return evaluateSuspicion(state, { ...phase, hasProbeFailed: true }, at);
}

/** Records what other VMs report on the suspected primary. */
export function recordPeerFinding(
  state: FailoverState,
  phase: Suspecting,
  peerFinding: PeerFinding,
  at: number,
): Step {
  return evaluateSuspicion(state, { ...phase, peerFinding }, at);
}

/** Counts checks without a result as failed once their time is over, as after a process pause. */
export function expireSuspicion(state: FailoverState, phase: Suspecting, at: number): Step {
  return evaluateSuspicion(
    state,
    { ...phase, hasProbeFailed: true, peerFinding: phase.peerFinding ?? "silent" },
    at,
  );
}

function evaluateSuspicion(state: FailoverState, phase: Suspecting, at: number): Step {
  const next = withPhase(state, phase);
  if (!phase.hasProbeFailed || phase.peerFinding === undefined) return succeed(next);
  if (phase.peerFinding === "reached")
    return beginCutOff(next, phase, "other VMs can reach it", at);
  if (!hasResponsiveMajority(next, phase.primary)) {
    return beginCutOff(next, phase, "no majority of targets answers this VM", at);
  }
  if (phase.peerFinding === "silent" && phase.probeRound < probeRoundsWithoutPeers) {
    const again = { probeRound: phase.probeRound + 1, wasCutOff: phase.wasCutOff };
    return beginSuspicion(next, phase, "no other VM answers", at, again);
  }
  return beginElection(next, "primaryFailed", at, phase.primary);
}

function beginCutOff(state: FailoverState, suspect: Suspect, why: string, at: number): Step {
  const until = at + state.options.timings.cutOffRetryMs;
  const note = { type: "note", note: { type: "cutOff", target: suspect.primary, why } } as const;
  return succeed(withPhase(state, { ...pickSuspect(suspect), type: "cutOff", until }), [note]);
}

function pickSuspect({ primary, term }: Suspect): Suspect {
  return { primary, ...(term === undefined ? {} : { term }) };
}
