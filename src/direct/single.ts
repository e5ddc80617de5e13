import type { Mark } from "../model/index.js";
import { failLocally, findEffect, type Reply, type Work } from "../statement/index.js";
import { sendCommand } from "./attempt.js";
import { findReadNeed, type SessionContext } from "./context.js";
import { directEvents } from "../log/events/direct.js";
import { placeStatement, type Place } from "./place.js";
import { judgeResult } from "./verdict.js";
import { describeRefusal, pauseBeforeRetry } from "./pause.js";

/** The answer to a statement, and the commit that it made, where it made one. */
export interface StatementEnd {
  readonly reply: Reply;
  readonly written?: Mark;
}

/**
 * The part of a statement's time after which a read without an answer is asked again elsewhere: its
 * connection may have gone silent for good, and the other half is left for the second try.
 */
const readTryShare = 0.4;
/** Tries of one statement; with pauses of 2 to 25 ms they end by time on any route. */
const maxTries = 64;
/** Below this no answer can come: two network passes and the shortest work. */
const leastTryMs = 5;

interface Progress {
  readonly excluded: Set<string>;
  /** A try of a read may have run; that is no obstacle to another. */
  tries: number;
  lastReason: string;
  retryAfterMs: number;
}

/** Runs one statement outside a transaction, with as many tries as its time and promises allow. */
export async function runSingle(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
): Promise<StatementEnd> {
  const deadlineAt = arrivedAt + context.database.action.deadlineMs;
  const progress: Progress = { excluded: new Set(), tries: 0, lastReason: "", retryAfterMs: 0 };
  const { clock } = context.ports;
  while (progress.tries < maxTries && clock.now() + leastTryMs < deadlineAt) {
    progress.tries += 1;
    const end = await tryOnce(context, work, arrivedAt, deadlineAt, progress);
    if (end !== undefined) return end;
  }
  return giveUp(context, work, progress);
}

async function tryOnce(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
  deadlineAt: number,
  progress: Progress,
): Promise<StatementEnd | undefined> {
  const { clock, logger } = context.ports;
  const need =
    findEffect(work) === "write"
      ? ({ type: "primary" } as const)
      : findReadNeed(context, arrivedAt);
  const placed = await placeStatement(context.ports, context.group, {
    id: context.nextId(),
    database: context.database,
    needsPrimary: need.type === "primary",
    hasMark: need.type === "replica",
    excluded: progress.excluded,
    deadlineAt,
    signal: context.gone,
  });
  if (placed.type === "refused") {
    const { reason, retryAfterMs } = placed;
    context.trace.noteReason(reason);
    logger.write(directEvents.refused, {
      id: work.id,
      session: context.session,
      reason,
      retryAfterMs,
    });
    return { reply: failLocally("busy", describeRefusal(reason, retryAfterMs), "idle") };
  }
  if (placed.type === "unreachable") {
    progress.excluded.add(placed.target);
    progress.lastReason = placed.reason;
    context.trace.noteReason(`${placed.target}: ${placed.reason}`);
    await pauseBeforeRetry(context.ports, progress.tries, deadlineAt);
    return undefined;
  }
  const { place } = placed;
  const fit = await prepareLink(context, place, work, deadlineAt);
  if (!fit) {
    progress.lastReason = "the connection broke while it was prepared";
    progress.excluded.add(place.target);
    return undefined;
  }
  const atLeast = need.type === "replica" && place.role === "replica" ? need.atLeast : undefined;
  context.trace.noteTry(place, atLeast);
  const command = { type: "work", work, ...(atLeast === undefined ? {} : { atLeast }) } as const;
  const timeoutMs = findTryTime(work, deadlineAt - clock.now(), context);
  const result = await sendCommand(context, place, command, timeoutMs);
  const verdict = judgeResult(result, findEffect(work));
  place.release();
  switch (verdict.type) {
    case "done":
      return finish(work, result.type === "answered" ? result.reply : undefined, place.role);
    case "inDoubt":
      return { reply: failLocally("inDoubt", `may have run: ${verdict.reason}`, "idle") };
    case "again":
      await prepareAgain(context, place, verdict.reason, progress, deadlineAt);
      return undefined;
  }
}

function finish(work: Work, reply: Reply | undefined, role: Place["role"]): StatementEnd {
  if (reply === undefined) throw new Error("a statement that is done has a reply");
  const isWritten = findEffect(work) === "write" && reply.end.type === "complete";
  const { mark } = reply;
  return isWritten && role === "primary" && mark !== undefined
    ? { reply, written: mark }
    : { reply };
}

/** Makes the connection fit for the session and the statement. Closed when that fails. */
export async function prepareLink(
  context: SessionContext,
  place: Place,
  work: Work,
  deadlineAt: number,
): Promise<boolean> {
  const prepared = work.type === "execute" ? work.prepared : undefined;
  const leftMs = deadlineAt - context.ports.clock.now();
  const isFit = await place.link.prepare({ values: context.values, prepared }, leftMs);
  if (!isFit) {
    place.group.noteFailure(place.target);
    place.drop();
  }
  return isFit;
}

/** Takes in why a try failed: the next goes elsewhere, or comes a little later. */
async function prepareAgain(
  context: SessionContext,
  place: Place,
  reason: string,
  progress: Progress,
  deadlineAt: number,
): Promise<void> {
  progress.lastReason = reason;
  context.trace.noteReason(reason);
  if (place.role === "replica") progress.excluded.add(place.target);
  if (reason === "lagging") {
    place.group.noteBehind(place.target);
    return;
  }
  if (reason === "busy" && place.role === "replica" && progress.tries === 1) return;
  if (progress.excluded.size > 0 && reason === "busy") progress.excluded.clear();
  await pauseBeforeRetry(context.ports, progress.tries, deadlineAt);
}

function findTryTime(work: Work, leftMs: number, context: SessionContext): number {
  if (findEffect(work) === "write") return leftMs;
  return Math.min(leftMs, context.database.action.deadlineMs * readTryShare);
}

/** Out of time. A write whose tries were all refused has not run; a read has no effect to lose. */
function giveUp(context: SessionContext, work: Work, progress: Progress): StatementEnd {
  const { logger } = context.ports;
  const { tries, lastReason } = progress;
  logger.write(directEvents.givenUp, { id: work.id, session: context.session, tries, lastReason });
  const reason = `out of time after ${tries} tries, the last: ${lastReason}`;
  return { reply: failLocally("busy", describeRefusal(reason, progress.retryAfterMs), "idle") };
}
