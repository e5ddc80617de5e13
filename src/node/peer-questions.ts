import type { LeadershipTracker, TargetAnswer, TargetQuestion } from "../leadership/index.js";
import type { Clock } from "../model/index.js";
import type { TargetStatusClient } from "./target-status.js";

/** Timeout of a peer's request about a target, in milliseconds: the same as for this process's own. */
const peerQuestionTimeoutMs = 200;

/** The dependencies of `PeerQuestions`. */
export interface PeerQuestionsPorts {
  readonly clock: Pick<Clock, "now">;
  readonly targetStatus: Pick<TargetStatusClient, "ask">;
  readonly tracker: Pick<LeadershipTracker, "findKnownPrimary" | "noteProbeResult">;
  /** Whether few gateways run the statements at a primary. */
  readonly isSlotPlanned: () => boolean;
  /** Called when this process finds a primary silent that a peer suspects. */
  readonly onSilentPrimary: () => void;
}

/** Answers peers' questions about targets. */
export class PeerQuestions {
  constructor(private readonly ports: PeerQuestionsPorts) {}

  /**
   * Asks a target for a peer. Where slots are planned, a silent primary counts as a failure that this process saw
   * itself: nearly all statements at a primary run at one gateway, and if that is far from the store, or the store
   * rejects its requests, no other process would begin a change for seconds.
   */
  async answer(question: TargetQuestion): Promise<TargetAnswer> {
    const { clock, targetStatus, tracker, isSlotPlanned, onSilentPrimary } = this.ports;
    const { group, target, demoteRound } = question;
    const askedAt = clock.now();
    const answer = await targetStatus.ask(question, peerQuestionTimeoutMs);
    const isStatus = demoteRound === undefined;
    const isPrimary = tracker.findKnownPrimary(group) === target;
    if (answer.type === "silent" && isStatus && isPrimary && isSlotPlanned()) {
      tracker.noteProbeResult(group, target, askedAt, false);
      onSilentPrimary();
    }
    return answer;
  }
}
