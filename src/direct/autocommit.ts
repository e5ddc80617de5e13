import type { Mark } from "../model/index.js";
import {
  failLocally,
  findEffect,
  type Prepared,
  type Reply,
  type Work,
} from "../statement/index.js";
import {
  isStillPrimary,
  placeAttempt,
  sendCommand,
  supersededReason,
  startSilenceTimer,
} from "./attempt.js";
import { findReadRequirement, type ReadRequirement, type SessionContext } from "./context.js";
import { directEvents } from "../log/events/direct.js";
import type { RateClaim } from "../rates/index.js";
import type { PlacedConnection, RefusedPlacement } from "./placement.js";
import { classifyResult } from "./result-class.js";
import { describeRefusal, pauseBeforeRetry } from "./pause.js";

/** The answer to a statement, and the commit that it made, where it made one. */
export interface StatementResult {
  readonly reply: Reply;
  readonly commitMark?: Mark;
}

/**
 * The part of a statement's time after which a read without an answer is asked again elsewhere: its
 * connection may have gone silent for good, and the other half is left for the second try.
 */
const readAttemptFraction = 0.4;
/** Tries of one statement; with pauses of 2 to 25 ms they end by time on any route. */
const maxAttempts = 64;
/** Below this no answer can come: two network passes and the shortest work. */
const minAttemptMs = 5;

/** Why a statement is refused that its team's rate has no room for any more. */
export const rateClaimLapsedReason =
  "it waited for longer than its team's rate was set aside for it";

/** Told after the last try: a slot is likely to be free by then. */
const outOfTimeRetryMs = 50;

interface AttemptState {
  readonly deadlineAt: number;
  /** What the statement may run on, within its team's rate. */
  readonly claim: RateClaim;
  readonly excluded: Set<string>;
  attempts: number;
  lastReason: string;
}

/** Runs one statement outside a transaction, with as many tries as its time and promises allow. */
export async function runAutocommit(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
): Promise<StatementResult> {
  const deadlineAt = arrivedAt + context.database.action.deadlineMs;
  const reserved = await context.ports.rates.reserve(
    context.team,
    deadlineAt,
    context.disconnectSignal,
  );
  if (reserved.type === "refused") return refuse(context, work, { ...reserved, waitedFor: [] });
  const { claim } = reserved;
  const progress: AttemptState = {
    deadlineAt,
    claim,
    excluded: new Set(),
    attempts: 0,
    lastReason: "",
  };
  try {
    return await retryUntilDone(context, work, arrivedAt, progress);
  } finally {
    claim.end();
  }
}

async function retryUntilDone(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
  progress: AttemptState,
): Promise<StatementResult> {
  const { clock } = context.ports;
  const { deadlineAt } = progress;
  while (progress.attempts < maxAttempts && clock.now() + minAttemptMs < deadlineAt) {
    progress.attempts += 1;
    const end = await attemptOnce(context, work, arrivedAt, progress);
    if (end !== undefined) return end;
  }
  return giveUp(context, work, progress);
}

/** One try; gives the answer, or nothing when another try may follow. */
async function attemptOnce(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
  progress: AttemptState,
): Promise<StatementResult | undefined> {
  const { deadlineAt, excluded } = progress;
  const need = findRequirement(context, work, arrivedAt);
  const placed = await placeAttempt(context, need, { excluded, deadlineAt });
  switch (placed.type) {
    case "refused":
      return refuse(context, work, placed);
    case "unreachable":
      excluded.add(placed.target);
      progress.lastReason = placed.reason;
      context.trace.noteReason(`${placed.target}: ${placed.reason}`);
      await pauseBeforeRetry(context.ports, progress.attempts, deadlineAt);
      return undefined;
    case "placed":
      return runOnConnection(context, work, placed.place, need, progress);
  }
}

function findRequirement(context: SessionContext, work: Work, arrivedAt: number): ReadRequirement {
  return findEffect(work) === "write"
    ? { type: "primary" }
    : findReadRequirement(context, arrivedAt);
}

function refuse(
  context: SessionContext,
  work: Work,
  { reason, retryAfterMs, waitedFor }: Omit<RefusedPlacement, "type">,
): StatementResult {
  const { session, trace, ports } = context;
  trace.noteReason(reason);
  const fields = { id: work.id, session, reason, retryAfterMs, waitedFor };
  ports.logger.write(directEvents.refused, fields);
  return { reply: failLocally("busy", describeRefusal(reason, retryAfterMs), "idle") };
}

/** Runs the statement on a connection and judges what came of it. */
async function runOnConnection(
  context: SessionContext,
  work: Work,
  place: PlacedConnection,
  need: ReadRequirement,
  progress: AttemptState,
): Promise<StatementResult | undefined> {
  const { deadlineAt, excluded } = progress;
  const prepared = work.type === "execute" ? work.prepared : undefined;
  if (!(await prepareLink(context, place, prepared, deadlineAt))) {
    progress.lastReason = "the connection broke while it was prepared";
    excluded.add(place.target);
    return undefined;
  }
  if (!isStillPrimary(context, place)) {
    place.release();
    progress.lastReason = supersededReason;
    return undefined;
  }
  if (!progress.claim.use()) {
    place.release();
    return refuse(context, work, { reason: rateClaimLapsedReason, retryAfterMs: 0, waitedFor: [] });
  }
  const atLeast = need.type === "replica" && place.role === "replica" ? need.atLeast : undefined;
  context.trace.noteAttempt(place, atLeast);
  const command = { type: "work", work, ...(atLeast === undefined ? {} : { atLeast }) } as const;
  const timeoutMs = findAttemptTimeout(work, deadlineAt - context.ports.clock.now(), context);
  const result = await sendCommand(context, place, command, timeoutMs);
  place.release();
  const verdict = classifyResult(result, findEffect(work));
  switch (verdict.type) {
    case "done":
      return finish(work, result.type === "answered" ? result.reply : undefined, place.role);
    case "inDoubt":
      return { reply: failLocally("inDoubt", `may have run: ${verdict.reason}`, "idle") };
    case "again":
      if (verdict.isNotRun) progress.claim.noteNotRun();
      await handleFailedAttempt(context, place, verdict.reason, progress);
      return undefined;
  }
}

function finish(
  work: Work,
  reply: Reply | undefined,
  role: PlacedConnection["role"],
): StatementResult {
  if (reply === undefined) throw new Error("a statement that is done has a reply");
  const isWritten = findEffect(work) === "write" && reply.end.type === "complete";
  const { mark } = reply;
  return isWritten && role === "primary" && mark !== undefined
    ? { reply, commitMark: mark }
    : { reply };
}

/** Makes the connection fit for the session and what it runs next. Closed when that fails. */
export async function prepareLink(
  context: SessionContext,
  place: PlacedConnection,
  prepared: Prepared | undefined,
  deadlineAt: number,
): Promise<boolean> {
  const leftMs = deadlineAt - context.ports.clock.now();
  const stopWatch = startSilenceTimer(context, place);
  const isFit = await place.link.prepare({ values: context.values, prepared }, leftMs);
  stopWatch();
  if (!isFit) {
    place.group.noteFailure(place.target);
    place.drop();
  }
  return isFit;
}

/** Takes in why a try failed: the next goes elsewhere, or comes a little later. */
async function handleFailedAttempt(
  context: SessionContext,
  place: PlacedConnection,
  reason: string,
  progress: AttemptState,
): Promise<void> {
  const { excluded } = progress;
  progress.lastReason = reason;
  context.trace.noteReason(reason);
  if (place.role === "replica") excluded.add(place.target);
  if (reason === "lagging") {
    place.group.noteLagging(place.target);
    return;
  }
  if (reason === "busy" && place.role === "replica" && progress.attempts === 1) return;
  if (reason === "busy") excluded.clear();
  await pauseBeforeRetry(context.ports, progress.attempts, progress.deadlineAt);
}

function findAttemptTimeout(work: Work, leftMs: number, context: SessionContext): number {
  if (findEffect(work) === "write") return leftMs;
  return Math.min(leftMs, context.database.action.deadlineMs * readAttemptFraction);
}

/** Out of time. A write whose tries were all refused has not run; a read has no effect to lose. */
function giveUp(context: SessionContext, work: Work, progress: AttemptState): StatementResult {
  const { logger } = context.ports;
  const { attempts: tries, lastReason } = progress;
  logger.write(directEvents.givenUp, { id: work.id, session: context.session, tries, lastReason });
  const reason = `out of time after ${tries} tries, the last: ${lastReason}`;
  return { reply: failLocally("busy", describeRefusal(reason, outOfTimeRetryMs), "idle") };
}
