import type { Mark } from "../model/index.js";
import {
  failLocally,
  findEffect,
  type Prepared,
  type Reply,
  type Work,
} from "../statement/index.js";
import {
  isStillLeading,
  placeAttempt,
  sendCommand,
  supersededReason,
  watchSilence,
} from "./attempt.js";
import { findReadNeed, type ReadNeed, type SessionContext } from "./context.js";
import { directEvents } from "../log/events/direct.js";
import type { RateClaim } from "../rates/index.js";
import type { Place, Refused } from "./place.js";
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

/** Why a statement is refused that its team's rate has no room for any more. */
export const lapsedReason = "it waited for longer than its team's rate was set aside for it";

/** Told after the last try: a slot is likely to be free by then. */
const outOfTimeRetryMs = 50;

interface Progress {
  readonly deadlineAt: number;
  /** What the statement may run on, within its team's rate. */
  readonly claim: RateClaim;
  readonly excluded: Set<string>;
  tries: number;
  lastReason: string;
}

/** Runs one statement outside a transaction, with as many tries as its time and promises allow. */
export async function runSingle(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
): Promise<StatementEnd> {
  const deadlineAt = arrivedAt + context.database.action.deadlineMs;
  const reserved = await context.ports.rates.reserve(context.team, deadlineAt, context.gone);
  if (reserved.type === "refused") return refuse(context, work, { ...reserved, waitedFor: [] });
  const { claim } = reserved;
  const progress: Progress = { deadlineAt, claim, excluded: new Set(), tries: 0, lastReason: "" };
  try {
    return await tryUntilDone(context, work, arrivedAt, progress);
  } finally {
    claim.release();
  }
}

async function tryUntilDone(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
  progress: Progress,
): Promise<StatementEnd> {
  const { clock } = context.ports;
  const { deadlineAt } = progress;
  while (progress.tries < maxTries && clock.now() + leastTryMs < deadlineAt) {
    progress.tries += 1;
    const end = await tryOnce(context, work, arrivedAt, progress);
    if (end !== undefined) return end;
  }
  return giveUp(context, work, progress);
}

/** One try; gives the answer, or nothing when another try may follow. */
async function tryOnce(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
  progress: Progress,
): Promise<StatementEnd | undefined> {
  const { deadlineAt, excluded } = progress;
  const need = findNeed(context, work, arrivedAt);
  const placed = await placeAttempt(context, need, { excluded, deadlineAt });
  switch (placed.type) {
    case "refused":
      return refuse(context, work, placed);
    case "unreachable":
      excluded.add(placed.target);
      progress.lastReason = placed.reason;
      context.trace.noteReason(`${placed.target}: ${placed.reason}`);
      await pauseBeforeRetry(context.ports, progress.tries, deadlineAt);
      return undefined;
    case "placed":
      return runOn(context, work, placed.place, need, progress);
  }
}

function findNeed(context: SessionContext, work: Work, arrivedAt: number): ReadNeed {
  return findEffect(work) === "write" ? { type: "primary" } : findReadNeed(context, arrivedAt);
}

function refuse(
  context: SessionContext,
  work: Work,
  { reason, retryAfterMs, waitedFor }: Omit<Refused, "type">,
): StatementEnd {
  const { session, trace, ports } = context;
  trace.noteReason(reason);
  const fields = { id: work.id, session, reason, retryAfterMs, waitedFor };
  ports.logger.write(directEvents.refused, fields);
  return { reply: failLocally("busy", describeRefusal(reason, retryAfterMs), "idle") };
}

/** Runs the statement on a connection and judges what came of it. */
async function runOn(
  context: SessionContext,
  work: Work,
  place: Place,
  need: ReadNeed,
  progress: Progress,
): Promise<StatementEnd | undefined> {
  const { deadlineAt, excluded } = progress;
  const prepared = work.type === "execute" ? work.prepared : undefined;
  if (!(await prepareLink(context, place, prepared, deadlineAt))) {
    progress.lastReason = "the connection broke while it was prepared";
    excluded.add(place.target);
    return undefined;
  }
  if (!isStillLeading(context, place)) {
    place.release();
    progress.lastReason = supersededReason;
    return undefined;
  }
  if (!progress.claim.consume()) {
    place.release();
    return refuse(context, work, { reason: lapsedReason, retryAfterMs: 0, waitedFor: [] });
  }
  const atLeast = need.type === "replica" && place.role === "replica" ? need.atLeast : undefined;
  context.trace.noteTry(place, atLeast);
  const command = { type: "work", work, ...(atLeast === undefined ? {} : { atLeast }) } as const;
  const timeoutMs = findTryTime(work, deadlineAt - context.ports.clock.now(), context);
  const result = await sendCommand(context, place, command, timeoutMs);
  place.release();
  const verdict = judgeResult(result, findEffect(work));
  switch (verdict.type) {
    case "done":
      return finish(work, result.type === "answered" ? result.reply : undefined, place.role);
    case "inDoubt":
      return { reply: failLocally("inDoubt", `may have run: ${verdict.reason}`, "idle") };
    case "again":
      if (verdict.isNotRun) progress.claim.noteNotRun();
      await noteFailedTry(context, place, verdict.reason, progress);
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

/** Makes the connection fit for the session and what it runs next. Closed when that fails. */
export async function prepareLink(
  context: SessionContext,
  place: Place,
  prepared: Prepared | undefined,
  deadlineAt: number,
): Promise<boolean> {
  const leftMs = deadlineAt - context.ports.clock.now();
  const stopWatch = watchSilence(context, place);
  const isFit = await place.link.prepare({ values: context.values, prepared }, leftMs);
  stopWatch();
  if (!isFit) {
    place.group.noteFailure(place.target);
    place.drop();
  }
  return isFit;
}

/** Takes in why a try failed: the next goes elsewhere, or comes a little later. */
async function noteFailedTry(
  context: SessionContext,
  place: Place,
  reason: string,
  progress: Progress,
): Promise<void> {
  const { excluded } = progress;
  progress.lastReason = reason;
  context.trace.noteReason(reason);
  if (place.role === "replica") excluded.add(place.target);
  if (reason === "lagging") {
    place.group.noteBehind(place.target);
    return;
  }
  if (reason === "busy" && place.role === "replica" && progress.tries === 1) return;
  if (reason === "busy") excluded.clear();
  await pauseBeforeRetry(context.ports, progress.tries, progress.deadlineAt);
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
  return { reply: failLocally("busy", describeRefusal(reason, outOfTimeRetryMs), "idle") };
}
