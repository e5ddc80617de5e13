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

/** Asks targets for peers and for this process, and suspects primaries that peers find silent too. */
export class PeerQuestions {
  /** By group: the primary that counts as silent since a peer asked about it. */
  private readonly silentForPeers = new Map<string, string>();

  constructor(private readonly ports: PeerQuestionsPorts) {}

  /**
   * Asks a target for a peer. Where slots are planned, a silent primary counts as a failure that this process saw
   * itself: nearly all statements at a primary run at one gateway, and if that is far from the store, or the store
   * rejects its requests, no other process would begin a change for seconds.
   */
  async answer(question: TargetQuestion): Promise<TargetAnswer> {
    const { clock, tracker, isSlotPlanned, onSilentPrimary } = this.ports;
    const { group, target, demoteRound } = question;
    const askedAt = clock.now();
    const answer = await this.ask(question, peerQuestionTimeoutMs);
    const isStatus = demoteRound === undefined;
    const isPrimary = tracker.findKnownPrimary(group) === target;
    if (answer.type === "silent" && isStatus && isPrimary && isSlotPlanned()) {
      this.silentForPeers.set(group, target);
      tracker.noteProbeResult(group, target, askedAt, false);
      onSilentPrimary();
    }
    return answer;
  }

  /**
   * Asks a target. An answer of a primary that counts as silent for peers ends that: this process may send it no
   * statements whose answers would, and would go on suspecting it and asking its peers.
   */
  async ask(question: TargetQuestion, timeoutMs: number): Promise<TargetAnswer> {
    const { clock, targetStatus, tracker } = this.ports;
    const { group, target } = question;
    const askedAt = clock.now();
    const answer = await targetStatus.ask(question, timeoutMs);
    if (this.silentForPeers.get(group) === target && isRunningPrimary(answer)) {
      this.silentForPeers.delete(group);
      tracker.noteProbeResult(group, target, askedAt, true);
    }
    return answer;
  }
}

function isRunningPrimary(answer: TargetAnswer): boolean {
  return answer.type === "alive" || (answer.type === "report" && answer.report.role === "primary");
}
