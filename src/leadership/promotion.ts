import { leadershipEvents } from "../log/events/leadership.js";
import type { TargetReport } from "../statement/index.js";
import type { CandidateChooser, ChangeUnderWay } from "./chooser.js";
import type { Candidate } from "./decide.js";
import type { TargetInquirer } from "./inquirer.js";
import type { ChangeLease } from "./lease.js";
import type { LeadershipPorts, PromoteResult } from "./ports.js";

/** The platform needs some hundred milliseconds for a promotion, sometimes a second. */
const promoteTimeoutMs = 1500;
/** How long orders to promote one target are repeated while it is unclear whether they take effect. */
const orderBudgetMs = 6000;
/** Bounds of the pause between two such orders; each pause is twice as long as the one before. */
const minOrderPauseMs = 100;
const maxOrderPauseMs = 400;
const servingTimeoutMs = 4000;
/**
 * An accepted order has taken effect by then, if it has one: for a target that is the platform's primary already,
 * nothing changes.
 */
const effectTimeoutMs = 1500;
const servingPollMs = 25;
/** How many chosen targets may turn out not to run before a change is given up. */
const maxCandidates = 3;

/** The end of the orders to promote one target. */
type PromotionOutcome =
  | { readonly type: "leading" }
  /** The target can't become primary; another one may. */
  | { readonly type: "refused" }
  | { readonly type: "givenUp"; readonly reason: string };

/** An order that may have taken effect or may still do so. */
interface UnansweredOrder {
  readonly round: number;
  readonly candidate: Candidate;
}

type PrimaryPromoterPorts = Pick<LeadershipPorts, "vm" | "promote" | "clock" | "logger">;

/** Has the platform promote the target that is chosen to become primary, and finds out whether that took effect. */
export class PrimaryPromoter {
  /** By group: the last order without an answer. */
  private readonly unanswered = new Map<string, UnansweredOrder>();
  /** By group: the round of a change that ended without any order, while the old primary's log was whole. */
  private readonly wholeLogRounds = new Map<string, number>();

  constructor(
    private readonly ports: PrimaryPromoterPorts,
    private readonly lease: ChangeLease,
    private readonly inquirer: TargetInquirer,
    private readonly chooser: CandidateChooser,
  ) {}

  /** Promotes the best running target and resolves to it, or to `undefined` if none became primary. */
  async promoteBestCandidate(change: ChangeUnderWay): Promise<string | undefined> {
    let reason = "no target could be promoted";
    for (let attempt = 0; attempt < maxCandidates; attempt += 1) {
      const candidate = await this.chooser.choose(change);
      if (candidate === undefined) {
        reason = "no target that may be promoted answers";
        if (attempt === 0 && change.isOldLogWhole)
          this.wholeLogRounds.set(change.group, change.round);
        break;
      }
      const outcome = await this.promote(change, candidate);
      if (outcome.type === "leading") return candidate.target;
      if (outcome.type === "refused") continue;
      reason = outcome.reason;
      break;
    }
    this.ports.logger.write(leadershipEvents.changePrevented, { group: change.group, reason });
    return undefined;
  }

  /** Whether this process gave up a change of this round before any order, so that the old primary's log is still whole. */
  hasLeftLogWhole(group: string, round: number): boolean {
    return this.wholeLogRounds.get(group) === round;
  }

  /** Finds the target whose promotion in this round took effect although its order was not answered. */
  async findPromoted(group: string, round: number): Promise<string | undefined> {
    const order = this.unanswered.get(group);
    if (order?.round !== round) return undefined;
    return (await this.hasTakenEffect(group, order.candidate)) ? order.candidate.target : undefined;
  }

  /**
   * Orders the promotion, and repeats the order while its effect is unclear; a promotion is idempotent. An answer may
   * be lost although the order took effect, so the target itself is asked too: otherwise its group is refused for
   * as long as answers are lost.
   */
  private async promote(change: ChangeUnderWay, candidate: Candidate): Promise<PromotionOutcome> {
    const { clock } = this.ports;
    const { group, round } = change;
    const until = clock.now() + orderBudgetMs;
    let pauseMs = minOrderPauseMs;
    while (clock.now() < until) {
      const result = await this.sendOrder(group, candidate.target);
      if (result?.type === "accepted") return this.waitUntilServing(group, candidate);
      if (result?.type === "refused") return { type: "refused" };
      if (result?.type === "unknown") this.unanswered.set(group, { round, candidate });
      if (await this.waitForEffect(group, candidate, pauseMs)) return { type: "leading" };
      if (!this.lease.isHeld) return { type: "givenUp", reason: "the lease is no longer held" };
      pauseMs = Math.min(2 * pauseMs, maxOrderPauseMs);
    }
    return { type: "givenUp", reason: "the platform did not confirm the promotion" };
  }

  /** Sends one order; `undefined` if the lease could not be renewed for it. */
  private async sendOrder(group: string, target: string): Promise<PromoteResult | undefined> {
    const token = await this.lease.renew();
    if (token === undefined) return undefined;
    const order = { group, target, holder: this.ports.vm, token };
    const result = await this.ports.promote(order, promoteTimeoutMs, () =>
      this.lease.canSendOrder(token),
    );
    this.ports.logger.write(leadershipEvents.promoteAnswered, { ...order, result });
    return result;
  }

  /** Waits for a while until the target reports itself as primary; false if it does not. */
  private async waitForEffect(
    group: string,
    candidate: Candidate,
    forMs: number,
  ): Promise<boolean> {
    const { clock } = this.ports;
    const until = clock.now() + forMs;
    for (;;) {
      if (await this.hasTakenEffect(group, candidate)) return true;
      if (clock.now() >= until) return false;
      await clock.sleep(servingPollMs);
    }
  }

  /**
   * Whether the target leads a newer round than before the order. One that called itself primary before may be an
   * older primary that was cut off, so that its role alone proves nothing.
   */
  private async hasTakenEffect(group: string, { target, report }: Candidate): Promise<boolean> {
    const now = await this.askTarget(group, target);
    return now?.role === "primary" && now.round > report.round;
  }

  /**
   * Waits for the effect of an accepted order. A target that called itself primary before counts only once it leads a
   * newer round, or once nothing has changed for as long as an order may take: an older primary that was cut off
   * would otherwise be used before its promotion, and commit in a round that is over.
   */
  private async waitUntilServing(group: string, candidate: Candidate): Promise<PromotionOutcome> {
    const { clock } = this.ports;
    const acceptedAt = clock.now();
    while (clock.now() - acceptedAt < servingTimeoutMs) {
      const askedAt = clock.now();
      const now = await this.askTarget(group, candidate.target);
      const isOver = askedAt - acceptedAt >= effectTimeoutMs;
      if (now?.role === "primary" && (isOver || showsPromotion(now, candidate.report)))
        return { type: "leading" };
      await clock.sleep(servingPollMs);
    }
    return { type: "givenUp", reason: "the promoted target does not report itself as primary" };
  }

  private askTarget(group: string, target: string): Promise<TargetReport | undefined> {
    return this.inquirer.askWithFallback({ group, target, demoteRound: undefined });
  }
}

/** Whether a primary's report shows that it was promoted since an earlier report. */
function showsPromotion(now: TargetReport, before: TargetReport): boolean {
  return before.role === "replica" || now.round > before.round;
}
