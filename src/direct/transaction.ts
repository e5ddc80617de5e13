import {
  failLocally,
  findEffect,
  isNotRun,
  type CommandResult,
  type Reply,
  type SessionState,
  type Work,
} from "../statement/index.js";
import { directEvents } from "../log/events/direct.js";
import { isStillPrimary, placeAttempt, sendCommand, supersededReason } from "./attempt.js";
import { beginOnConnection, findPrepared, rollbackAndRelease } from "./begin.js";
import { findReadRequirement, type SessionContext } from "./context.js";
import { pauseBeforeRetry } from "./pause.js";
import type { PlacedConnection } from "./placement.js";
import { refuseStatement, type Refusal } from "./refusal.js";
import { endAsRedirected } from "./redirect.js";
import { disconnectedReason, displacedReason, giveSlotBack, waitForSlotTurn } from "./slot-turn.js";
import type { OpenTransaction } from "./runner.js";
import { rateClaimLapsedReason, prepareLink, type StatementResult } from "./autocommit.js";
import type { RateClaim } from "../rates/index.js";

/** Attempts to begin. Nothing has run before the first statement's answer, so each may be repeated. */
const maxBeginAttempts = 64;
/** With less time left no answer can arrive. */
const minAttemptMs = 5;
/** Attempts at a later statement while the target has no slot; with the pauses the deadline ends them first. */
const maxBusyAttempts = 64;

type Phase =
  | { readonly type: "pending" }
  | { readonly type: "open"; readonly placement: PlacedConnection }
  | { readonly type: "failed"; readonly reason: string }
  /** Rolled back for others, which the caller learns with its next statement. */
  | { readonly type: "displaced" };

/**
 * One caller's transaction. It acquires a connection at its first statement and keeps it until its end, as a
 * statement on another connection would run outside the transaction. A failure before `commit` is sent
 * guarantees that nothing of the transaction is kept.
 */
export class Transaction implements OpenTransaction {
  private phase: Phase = { type: "pending" };
  private hasWritten = false;
  private isStatementRunning = false;

  constructor(private readonly isReadOnly: boolean) {}

  get state(): SessionState {
    return this.phase.type === "failed" ? "failed" : "transaction";
  }

  /** Runs a statement in the transaction. */
  async run(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    const reply = await this.trackRunning(async () => {
      switch (this.phase.type) {
        case "pending":
          return this.begin(context, work, arrivedAt);
        case "open":
          return this.continue(context, this.phase.placement, work, arrivedAt);
        case "failed":
          return failLocally("malformed", "the transaction has failed; roll it back", "failed");
        case "displaced":
          this.phase = { type: "failed", reason: displacedReason };
          return failLocally("aborted", `rolled back: ${displacedReason}`, "failed");
      }
    });
    this.pause(context);
    return reply;
  }

  /** Commits the transaction. The session is idle afterwards, whatever the result. */
  async commit(
    context: SessionContext,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementResult> {
    return this.trackRunning(async () => {
      if (this.phase.type === "pending") {
        const failure = await this.open(context, undefined, arrivedAt);
        if (failure !== undefined) return { reply: { ...failure, state: "idle" } };
      }
      if (this.phase.type !== "open") {
        return {
          reply: failLocally("aborted", "the transaction failed and was rolled back", "idle"),
        };
      }
      const { placement } = this.phase;
      const failure = await this.takeSlot(context, placement, id, arrivedAt);
      if (failure !== undefined) return { reply: { ...failure, state: "idle" } };
      return this.sendCommit(context, placement, id, text, arrivedAt);
    });
  }

  /** Rolls the transaction back without waiting. It can't fail: closing the connection has the same effect. */
  rollback(context: SessionContext): void {
    const { phase } = this;
    this.phase = { type: "failed", reason: "rolled back" };
    if (phase.type === "open") void rollbackAndRelease(context, phase.placement);
  }

  get hasWaiters(): boolean {
    return (
      this.phase.type === "open" &&
      this.phase.placement.group.hasWaitersFor(this.phase.placement.target)
    );
  }

  /** Whether one of its statements is running. */
  get isRunning(): boolean {
    return this.isStatementRunning;
  }

  /** Runs a later statement, once it has a slot. */
  private async continue(
    context: SessionContext,
    placement: PlacedConnection,
    work: Work,
    arrivedAt: number,
  ): Promise<Reply> {
    const failure = await this.takeSlot(context, placement, work.id, arrivedAt);
    return failure ?? this.runOnConnection(context, placement, work, arrivedAt);
  }

  /**
   * Waits for a slot if the transaction has none. Returns the answer for the caller if it gets none; nothing
   * of the transaction is kept then.
   */
  private async takeSlot(
    context: SessionContext,
    placement: PlacedConnection,
    id: string,
    arrivedAt: number,
  ): Promise<Reply | undefined> {
    if (!placement.isIdle) return undefined;
    const deadlineAt = arrivedAt + context.database.action.deadlineMs - minAttemptMs;
    const turn = await waitForSlotTurn(context, placement, deadlineAt);
    if (turn.type === "taken") return undefined;
    void rollbackAndRelease(context, placement);
    switch (turn.type) {
      case "disconnected":
        this.phase = { type: "failed", reason: disconnectedReason };
        return failLocally("aborted", `rolled back: ${disconnectedReason}`, "failed");
      case "superseded":
        return this.abort(context, id, supersededReason);
      case "refused":
        return this.refuse(context, { ...turn, waitedFor: [placement.target] });
    }
  }

  /** Gives the slot back until the next statement, and lets the transaction be ended for others. */
  private pause(context: SessionContext): void {
    const { phase } = this;
    if (phase.type !== "open") return;
    giveSlotBack(context, phase.placement, this.hasWritten, () => {
      this.phase = { type: "displaced" };
      void rollbackAndRelease(context, phase.placement);
    });
  }

  private async trackRunning<T>(run: () => Promise<T>): Promise<T> {
    this.isStatementRunning = true;
    try {
      return await run();
    } finally {
      this.isStatementRunning = false;
    }
  }

  private async begin(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    const failure = await this.open(context, work, arrivedAt);
    if (failure !== undefined) return failure;
    if (this.phase.type !== "open") throw new Error("an open transaction must have a connection");
    if (context.disconnectSignal.aborted) {
      this.rollback(context);
      return failLocally("aborted", "rolled back: the caller has disconnected", "failed");
    }
    return this.runOnConnection(context, this.phase.placement, work, arrivedAt);
  }

  /**
   * Acquires a connection and begins the transaction on it. Returns the answer for the caller if that fails.
   * A transaction counts as one operation against its team's rate limit, whatever the number of its statements.
   */
  private async open(
    context: SessionContext,
    work: Work | undefined,
    arrivedAt: number,
  ): Promise<Reply | undefined> {
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const reserved = await context.ports.rates.reserve(
      context.team,
      deadlineAt,
      context.disconnectSignal,
    );
    if (reserved.type === "refused") return this.refuse(context, { ...reserved, waitedFor: [] });
    const { claim } = reserved;
    try {
      return await this.openWithClaim(context, work, arrivedAt, claim);
    } finally {
      claim.release();
    }
  }

  private async openWithClaim(
    context: SessionContext,
    work: Work | undefined,
    arrivedAt: number,
    claim: RateClaim,
  ): Promise<Reply | undefined> {
    const { clock } = context.ports;
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const excluded = new Set<string>();
    let reason = "out of time";
    for (let attempt = 1; attempt <= maxBeginAttempts; attempt += 1) {
      if (clock.now() + minAttemptMs >= deadlineAt) break;
      const requirement = this.isReadOnly
        ? findReadRequirement(context, arrivedAt)
        : ({ type: "primary" } as const);
      const placed = await placeAttempt(context, requirement, { excluded, deadlineAt });
      if (placed.type === "refused") {
        return this.refuse(context, placed);
      }
      if (placed.type === "redirected") {
        this.phase = { type: "failed", reason: placed.reason };
        return endAsRedirected(context, work?.id ?? "", placed.reason, "failed");
      }
      if (placed.type === "unreachable") {
        excluded.add(placed.target);
        reason = placed.reason;
        await pauseBeforeRetry(context.ports, attempt, deadlineAt);
        continue;
      }
      const { placement } = placed;
      const atLeast =
        requirement.type === "replica" && placement.role === "replica"
          ? requirement.atLeast
          : undefined;
      const failure = await beginOnConnection(context, placement, {
        isReadOnly: this.isReadOnly,
        work,
        atLeast,
        deadlineAt,
        claim,
      });
      if (failure === undefined) {
        this.phase = { type: "open", placement };
        return undefined;
      }
      reason = failure;
      if (failure === rateClaimLapsedReason) break;
      if (placement.role === "replica") excluded.add(placement.target);
      await pauseBeforeRetry(context.ports, attempt, deadlineAt);
    }
    return this.refuse(context, { reason, retryAfterMs: 0, waitedFor: [] });
  }

  /** Runs a statement on the transaction's connection, and retries it while the target is busy. */
  private async runOnConnection(
    context: SessionContext,
    placement: PlacedConnection,
    work: Work,
    arrivedAt: number,
  ): Promise<Reply> {
    const { clock } = context.ports;
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    context.trace.noteAttempt(placement);
    for (let attempt = 1; ; attempt += 1) {
      if (!(await prepareLink(context, placement, findPrepared(work), deadlineAt))) {
        return this.abort(context, work.id, "the connection broke");
      }
      const result = await this.send(context, placement, work, deadlineAt - clock.now());
      if (result.type === "broken") return this.abort(context, work.id, result.reason);
      const { reply } = result;
      if (reply.end.type === "complete") {
        if (findEffect(work) === "write") this.hasWritten = true;
        return reply;
      }
      const canWait = clock.now() + minAttemptMs < deadlineAt && attempt < maxBusyAttempts;
      if (reply.end.code === "busy" && reply.state === "transaction" && canWait) {
        await pauseBeforeRetry(context.ports, attempt, deadlineAt);
        continue;
      }
      return this.failWith(context, placement, reply);
    }
  }

  private send(
    context: SessionContext,
    placement: PlacedConnection,
    work: Work,
    leftMs: number,
  ): Promise<CommandResult> {
    const command = { type: "work", work } as const;
    return sendCommand(context, placement, command, Math.max(1, leftMs), "transaction");
  }

  /** Fails the whole transaction after a statement's error and rolls it back immediately. */
  private failWith(context: SessionContext, placement: PlacedConnection, reply: Reply): Reply {
    if (reply.end.type !== "error") return reply;
    this.phase = { type: "failed", reason: reply.end.code };
    void rollbackAndRelease(context, placement);
    const { code, text } = reply.end;
    if (isNotRun(code)) return { ...reply, state: "failed" };
    // The statement ran, but its effects were rolled back with the transaction.
    return failLocally(code === "failed" ? "failed" : "aborted", text, "failed");
  }

  private abort(context: SessionContext, id: string, reason: string): Reply {
    const { logger } = context.ports;
    logger.write(directEvents.transactionLost, { id, session: context.session, reason });
    this.phase = { type: "failed", reason };
    context.trace.noteReason(reason);
    return failLocally("aborted", `rolled back: ${reason}`, "failed");
  }

  /**
   * Rolls back instead of committing at a target that is no longer the primary. A replaced primary that could
   * not be demoted would still accept the commit, and the caller would be told of a write that the new primary
   * does not have.
   */
  private rollbackInsteadOfCommit(
    context: SessionContext,
    placement: PlacedConnection,
    id: string,
  ): Reply {
    void rollbackAndRelease(context, placement);
    return { ...this.abort(context, id, supersededReason), state: "idle" };
  }

  private refuse(context: SessionContext, refused: Refusal): Reply {
    this.phase = { type: "failed", reason: refused.reason };
    return refuseStatement(context, refused, "failed");
  }

  private async sendCommit(
    context: SessionContext,
    placement: PlacedConnection,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementResult> {
    const { clock, logger } = context.ports;
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    context.trace.noteAttempt(placement);
    for (let attempt = 1; ; attempt += 1) {
      if (this.hasWritten && !isStillPrimary(context, placement)) {
        return { reply: this.rollbackInsteadOfCommit(context, placement, id) };
      }
      const command = { type: "commit", id, text } as const;
      const leftMs = Math.max(1, deadlineAt - clock.now());
      const result = await sendCommand(context, placement, command, leftMs);
      if (result.type === "broken") {
        logger.write(directEvents.commitUnanswered, { id, reason: result.reason });
        this.phase = { type: "failed", reason: result.reason };
        return { reply: this.makeLostCommitReply(result.reason) };
      }
      const { reply } = result;
      const isBusy = reply.end.type === "error" && reply.end.code === "busy";
      const canWait = clock.now() + minAttemptMs < deadlineAt && attempt < maxBusyAttempts;
      if (isBusy && reply.state === "transaction" && canWait) {
        await pauseBeforeRetry(context.ports, attempt, deadlineAt);
        continue;
      }
      this.phase = { type: "failed", reason: "ended" };
      return this.finishCommit(context, placement, reply);
    }
  }

  private finishCommit(
    context: SessionContext,
    placement: PlacedConnection,
    reply: Reply,
  ): StatementResult {
    if (reply.state === "idle") placement.release();
    else void rollbackAndRelease(context, placement);
    const ended = { ...reply, state: "idle" } as const;
    const isWritten = this.hasWritten && reply.end.type === "complete";
    return isWritten && reply.mark !== undefined
      ? { reply: ended, commitMark: reply.mark }
      : { reply: ended };
  }

  /** Makes the answer to a commit without a result. Without writes it is irrelevant whether the commit ran. */
  private makeLostCommitReply(reason: string): Reply {
    return this.hasWritten
      ? failLocally("inDoubt", `the commit may have run: ${reason}`, "idle")
      : failLocally("aborted", `nothing was written: ${reason}`, "idle");
  }
}
