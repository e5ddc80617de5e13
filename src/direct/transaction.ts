import type { Mark } from "../model/index.js";
import {
  failLocally,
  findEffect,
  isNotRun,
  type CommandResult,
  type Prepared,
  type Reply,
  type SessionState,
  type Work,
} from "../statement/index.js";
import { directEvents } from "../log/events/direct.js";
import { isStillLeading, placeAttempt, sendCommand, supersededReason } from "./attempt.js";
import { findReadNeed, type SessionContext } from "./context.js";
import { describeRefusal, pauseBeforeRetry } from "./pause.js";
import type { Place, Refused } from "./place.js";
import type { OpenTransaction } from "./runner.js";
import { lapsedReason, prepareLink, type StatementEnd } from "./single.js";
import type { RateClaim } from "../rates/index.js";

/** Tries to begin; nothing has run before the first statement's answer, so each may be repeated. */
const maxBeginTries = 64;
const leastTryMs = 5;
/** Tries of a later statement that the target had no slot for; the pauses end them by time. */
const maxBusyTries = 64;
/** A rollback takes no slot; without an answer in this time the connection is closed instead. */
const rollbackTimeoutMs = 1000;

/** What beginning on one connection needs. */
interface Beginning {
  readonly work: Work | undefined;
  readonly atLeast: Mark | undefined;
  readonly deadlineAt: number;
  readonly claim: RateClaim;
}

type Phase =
  | { readonly type: "pending" }
  | { readonly type: "open"; readonly place: Place }
  | { readonly type: "failed"; readonly reason: string };

/**
 * One caller's transaction. It takes a connection with its first statement and keeps it to its end:
 * a statement elsewhere would run outside it. Until `commit` is sent nothing of it is kept, whatever
 * happens, so that each failure before is a promise.
 */
export class Transaction implements OpenTransaction {
  private phase: Phase = { type: "pending" };
  private hasWritten = false;
  private isBusy = false;

  constructor(private readonly isReadOnly: boolean) {}

  get state(): SessionState {
    return this.phase.type === "failed" ? "failed" : "transaction";
  }

  /** Runs a statement in it. */
  async run(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    return this.withBusy(async () => {
      switch (this.phase.type) {
        case "pending":
          return this.begin(context, work, arrivedAt);
        case "open":
          return this.proceed(context, this.phase.place, work, arrivedAt);
        case "failed":
          return failLocally("malformed", "the transaction has failed; roll it back", "failed");
      }
    });
  }

  /** Commits it. The session is idle afterwards, whatever came of it. */
  async commit(
    context: SessionContext,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementEnd> {
    return this.withBusy(async () => {
      if (this.phase.type === "pending") {
        const failure = await this.open(context, undefined, arrivedAt);
        if (failure !== undefined) return { reply: { ...failure, state: "idle" } };
      }
      if (this.phase.type !== "open") {
        return {
          reply: failLocally("aborted", "the transaction failed and was rolled back", "idle"),
        };
      }
      return this.sendCommit(context, this.phase.place, id, text, arrivedAt);
    });
  }

  /** Rolls it back without waiting: a rollback can't fail, a closed connection is one too. */
  rollback(context: SessionContext): void {
    const { phase } = this;
    this.phase = { type: "failed", reason: "rolled back" };
    if (phase.type === "open") void this.releaseRolledBack(context, phase.place);
  }

  get isWanted(): boolean {
    return this.phase.type === "open" && this.phase.place.group.isWanted(this.phase.place.target);
  }

  /** Whether a statement of it is on its way. */
  get isRunning(): boolean {
    return this.isBusy;
  }

  private async withBusy<T>(run: () => Promise<T>): Promise<T> {
    this.isBusy = true;
    try {
      return await run();
    } finally {
      this.isBusy = false;
    }
  }

  private async begin(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    const failure = await this.open(context, work, arrivedAt);
    if (failure !== undefined) return failure;
    if (this.phase.type !== "open") throw new Error("an opened transaction has a place");
    if (context.gone.aborted) {
      this.rollback(context);
      return failLocally("aborted", "rolled back: the caller has gone", "failed");
    }
    return this.proceed(context, this.phase.place, work, arrivedAt);
  }

  /**
   * Takes a connection and begins on it. Gives the answer to the caller when that fails. The transaction
   * counts as one operation of its team, whatever it holds.
   */
  private async open(
    context: SessionContext,
    work: Work | undefined,
    arrivedAt: number,
  ): Promise<Reply | undefined> {
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const reserved = await context.ports.rates.reserve(context.team, deadlineAt, context.gone);
    if (reserved.type === "refused") return this.refuse(context, { ...reserved, waitedFor: [] });
    const { claim } = reserved;
    try {
      return await this.openWithin(context, work, arrivedAt, claim);
    } finally {
      claim.release();
    }
  }

  private async openWithin(
    context: SessionContext,
    work: Work | undefined,
    arrivedAt: number,
    claim: RateClaim,
  ): Promise<Reply | undefined> {
    const { clock } = context.ports;
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const excluded = new Set<string>();
    let reason = "out of time";
    for (let tries = 1; tries <= maxBeginTries; tries += 1) {
      if (clock.now() + leastTryMs >= deadlineAt) break;
      const need = this.isReadOnly
        ? findReadNeed(context, arrivedAt)
        : ({ type: "primary" } as const);
      const placed = await placeAttempt(context, need, { excluded, deadlineAt });
      if (placed.type === "refused") {
        return this.refuse(context, placed);
      }
      if (placed.type === "unreachable") {
        excluded.add(placed.target);
        reason = placed.reason;
        await pauseBeforeRetry(context.ports, tries, deadlineAt);
        continue;
      }
      const { place } = placed;
      const atLeast =
        need.type === "replica" && place.role === "replica" ? need.atLeast : undefined;
      const begun = await this.beginOn(context, place, { work, atLeast, deadlineAt, claim });
      if (begun === undefined) return undefined;
      reason = begun;
      if (begun === lapsedReason) break;
      if (place.role === "replica") excluded.add(place.target);
      await pauseBeforeRetry(context.ports, tries, deadlineAt);
    }
    return this.refuse(context, { reason, retryAfterMs: 0, waitedFor: [] });
  }

  /** Begins on a connection; gives why it failed, with the connection given back or closed. */
  private async beginOn(
    context: SessionContext,
    place: Place,
    { work, atLeast, deadlineAt, claim }: Beginning,
  ): Promise<string | undefined> {
    const prepared = findPrepared(work);
    if (!(await prepareLink(context, place, prepared, deadlineAt))) return "the connection broke";
    if (!isStillLeading(context, place)) {
      place.release();
      return supersededReason;
    }
    if (!claim.consume()) {
      place.release();
      return lapsedReason;
    }
    const mark = atLeast === undefined ? {} : { atLeast };
    const command = { type: "begin", isReadOnly: this.isReadOnly, ...mark } as const;
    const leftMs = deadlineAt - context.ports.clock.now();
    const result = await sendCommand(context, place, command, leftMs);
    if (result.type === "broken") return result.reason;
    const { end } = result.reply;
    if (end.type === "complete") {
      this.phase = { type: "open", place };
      return undefined;
    }
    if (isNotRun(end.code)) claim.noteNotRun();
    if (end.code === "lagging") place.group.noteBehind(place.target);
    await this.releaseRolledBack(context, place);
    return end.code;
  }

  /** Sends a statement on the transaction's own connection. */
  private async proceed(
    context: SessionContext,
    place: Place,
    work: Work,
    arrivedAt: number,
  ): Promise<Reply> {
    const { clock } = context.ports;
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    context.trace.noteTry(place);
    for (let tries = 1; ; tries += 1) {
      if (!(await prepareLink(context, place, findPrepared(work), deadlineAt))) {
        return this.abort(context, work.id, "the connection broke");
      }
      const result = await this.send(context, place, work, deadlineAt - clock.now());
      if (result.type === "broken") return this.abort(context, work.id, result.reason);
      const { reply } = result;
      if (reply.end.type === "complete") {
        if (findEffect(work) === "write") this.hasWritten = true;
        return reply;
      }
      const canWait = clock.now() + leastTryMs < deadlineAt && tries < maxBusyTries;
      if (reply.end.code === "busy" && reply.state === "transaction" && canWait) {
        await pauseBeforeRetry(context.ports, tries, deadlineAt);
        continue;
      }
      return this.failWith(context, place, reply);
    }
  }

  private send(
    context: SessionContext,
    place: Place,
    work: Work,
    leftMs: number,
  ): Promise<CommandResult> {
    return sendCommand(context, place, { type: "work", work }, Math.max(1, leftMs));
  }

  /** A statement's error fails the whole transaction, which is rolled back at once. */
  private failWith(context: SessionContext, place: Place, reply: Reply): Reply {
    if (reply.end.type !== "error") return reply;
    this.phase = { type: "failed", reason: reply.end.code };
    void this.releaseRolledBack(context, place);
    const { code, text } = reply.end;
    if (isNotRun(code)) return { ...reply, state: "failed" };
    // It ran, but what it did was rolled back with the rest: nothing is kept.
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
   * Rolls back in place of a commit at a target that leads no more. One that nobody could make step
   * back would still take the commit: its caller would be told of a write that the new primary lacks.
   */
  private abandon(context: SessionContext, place: Place, id: string): Reply {
    void this.releaseRolledBack(context, place);
    return { ...this.abort(context, id, supersededReason), state: "idle" };
  }

  private refuse(context: SessionContext, refused: Omit<Refused, "type">): Reply {
    const { logger } = context.ports;
    const { reason, retryAfterMs, waitedFor } = refused;
    const fields = { session: context.session, reason, retryAfterMs, waitedFor };
    logger.write(directEvents.refused, fields);
    this.phase = { type: "failed", reason };
    context.trace.noteReason(reason);
    return failLocally("busy", describeRefusal(reason, retryAfterMs), "failed");
  }

  private async sendCommit(
    context: SessionContext,
    place: Place,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementEnd> {
    const { clock, logger } = context.ports;
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    context.trace.noteTry(place);
    for (let tries = 1; ; tries += 1) {
      if (this.hasWritten && !isStillLeading(context, place)) {
        return { reply: this.abandon(context, place, id) };
      }
      const command = { type: "commit", id, text } as const;
      const leftMs = Math.max(1, deadlineAt - clock.now());
      const result = await sendCommand(context, place, command, leftMs);
      if (result.type === "broken") {
        logger.write(directEvents.commitUnanswered, { id, reason: result.reason });
        this.phase = { type: "failed", reason: result.reason };
        return { reply: this.describeLostCommit(result.reason) };
      }
      const { reply } = result;
      const isBusy = reply.end.type === "error" && reply.end.code === "busy";
      const canWait = clock.now() + leastTryMs < deadlineAt && tries < maxBusyTries;
      if (isBusy && reply.state === "transaction" && canWait) {
        await pauseBeforeRetry(context.ports, tries, deadlineAt);
        continue;
      }
      this.phase = { type: "failed", reason: "ended" };
      return this.finishCommit(context, place, reply);
    }
  }

  private finishCommit(context: SessionContext, place: Place, reply: Reply): StatementEnd {
    if (reply.state === "idle") place.release();
    else void this.releaseRolledBack(context, place);
    const ended = { ...reply, state: "idle" } as const;
    const isWritten = this.hasWritten && reply.end.type === "complete";
    return isWritten && reply.mark !== undefined
      ? { reply: ended, written: reply.mark }
      : { reply: ended };
  }

  /** A transaction that wrote nothing leaves nothing behind, whether its commit ran or not. */
  private describeLostCommit(reason: string): Reply {
    return this.hasWritten
      ? failLocally("inDoubt", `the commit may have run: ${reason}`, "idle")
      : failLocally("aborted", `nothing was written: ${reason}`, "idle");
  }

  private async releaseRolledBack(context: SessionContext, place: Place): Promise<void> {
    const result = await sendCommand(context, place, { type: "rollback" }, rollbackTimeoutMs);
    if (result.type === "answered" && result.reply.state === "idle") place.release();
    else place.drop();
  }
}

function findPrepared(work: Work | undefined): Prepared | undefined {
  return work?.type === "execute" ? work.prepared : undefined;
}
