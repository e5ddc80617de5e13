import type { Mark } from "../model/index.js";
import {
  failLocally,
  findEffect,
  type PreparedDefinition,
  type Reply,
  type Work,
} from "../statement/index.js";
import { findBarrier, placeAttempt, sendCommand, startSilenceTimer } from "./attempt.js";
import { findReadRequirement, type ReadRequirement, type SessionContext } from "./context.js";
import { directEvents } from "../log/events/direct.js";
import type { RateClaim } from "../rates/index.js";
import type { PlacedConnection } from "./placement.js";
import { endAsRedirected } from "./redirect.js";
import { classifyResult } from "./result-class.js";
import { describeLevel } from "./levels.js";
import { describeRefusal, pauseBeforeRetry } from "./pause.js";
import { refuseStatement, type Refusal } from "./refusal.js";

/** The answer to a statement, and the mark of its commit if it committed a write. */
export interface StatementResult {
  readonly reply: Reply;
  readonly commitMark?: Mark;
}

/**
 * The fraction of a statement's deadline that one attempt at a read may take before it is retried elsewhere,
 * as its connection may be dead. It leaves enough time for a second attempt.
 */
const readAttemptFraction = 0.4;
/** Attempts at one statement; with pauses of 2 to 25 ms the deadline ends them first on any route. */
const maxAttempts = 64;
/** With less time left no answer can arrive: it needs a network round trip and the shortest run time. */
const minAttemptMs = 5;

/** Why a statement is refused whose reservation from its team's rate limit has expired. */
export const rateClaimLapsedReason = "its reservation from the team's rate limit expired";

/** The retry hint after the last attempt: a slot is likely to be free by then. */
const outOfTimeRetryMs = 50;

interface AttemptState {
  readonly deadlineAt: number;
  /** The statement's reservation from its team's rate limit. */
  readonly claim: RateClaim;
  readonly excluded: Set<string>;
  attempts: number;
  lastReason: string;
}

/**
 * Runs one statement outside a transaction. Retries it until its deadline, unless an attempt may have taken
 * effect.
 */
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
  const state: AttemptState = {
    deadlineAt,
    claim,
    excluded: new Set(),
    attempts: 0,
    lastReason: "",
  };
  try {
    return await retryUntilDone(context, work, arrivedAt, state);
  } finally {
    claim.release();
  }
}

async function retryUntilDone(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
  state: AttemptState,
): Promise<StatementResult> {
  const { clock } = context.ports;
  const { deadlineAt } = state;
  while (state.attempts < maxAttempts && clock.now() + minAttemptMs < deadlineAt) {
    state.attempts += 1;
    const end = await attemptOnce(context, work, arrivedAt, state);
    if (end !== undefined) return end;
  }
  return giveUp(context, work, state);
}

/** Makes one attempt. Returns the answer, or undefined if another attempt may follow. */
async function attemptOnce(
  context: SessionContext,
  work: Work,
  arrivedAt: number,
  state: AttemptState,
): Promise<StatementResult | undefined> {
  const { deadlineAt, excluded } = state;
  const requirement = findRequirement(context, work, arrivedAt);
  const placed = await placeAttempt(context, requirement, { excluded, deadlineAt });
  switch (placed.type) {
    case "refused":
      return refuse(context, work, placed);
    case "redirected":
      return { reply: endAsRedirected(context, work.id, placed.reason, "idle") };
    case "unreachable":
      excluded.add(placed.target);
      state.lastReason = placed.reason;
      context.trace.noteReason(`${placed.target}: ${placed.reason}`);
      await pauseBeforeRetry(context.ports, state.attempts, deadlineAt);
      return undefined;
    case "placed":
      return runOnConnection(context, work, placed.placement, requirement, state);
  }
}

function findRequirement(context: SessionContext, work: Work, arrivedAt: number): ReadRequirement {
  return findEffect(work) === "write"
    ? { type: "primary" }
    : findReadRequirement(context, arrivedAt);
}

function refuse(context: SessionContext, work: Work, refused: Refusal): StatementResult {
  return { reply: refuseStatement(context, refused, "idle", work.id) };
}

/** Runs the statement on a connection. Returns undefined if another attempt may follow. */
async function runOnConnection(
  context: SessionContext,
  work: Work,
  placement: PlacedConnection,
  requirement: ReadRequirement,
  state: AttemptState,
): Promise<StatementResult | undefined> {
  const { deadlineAt, excluded } = state;
  const prepared = work.type === "execute" ? work.prepared : undefined;
  if (!(await prepareLink(context, placement, prepared, deadlineAt))) {
    state.lastReason = "the connection broke while its session state was being set";
    excluded.add(placement.target);
    return undefined;
  }
  const barrier = findBarrier(context, placement);
  if (barrier !== undefined) {
    placement.release();
    state.lastReason = barrier;
    return undefined;
  }
  if (!state.claim.consume()) {
    placement.release();
    return refuse(context, work, { reason: rateClaimLapsedReason, retryAfterMs: 0, waitedFor: [] });
  }
  const atLeast =
    requirement.type === "replica" && placement.role === "replica"
      ? requirement.atLeast
      : undefined;
  context.trace.noteAttempt(placement, atLeast);
  const command = { type: "work", work, ...(atLeast === undefined ? {} : { atLeast }) } as const;
  const timeoutMs = findAttemptTimeout(work, deadlineAt - context.ports.clock.now(), context);
  const result = await sendCommand(context, placement, command, timeoutMs);
  placement.release();
  const outcome = classifyResult(result, findEffect(work));
  switch (outcome.type) {
    case "done":
      return finish(work, result.type === "answered" ? result.reply : undefined, placement.role);
    case "inDoubt":
      return { reply: failLocally("inDoubt", `may have run: ${outcome.reason}`, "idle") };
    case "retry":
      if (outcome.isNotRun) state.claim.noteNotRun();
      else context.redirect?.withdraw();
      await handleFailedAttempt(context, placement, outcome.reason, state);
      return undefined;
  }
}

function finish(
  work: Work,
  reply: Reply | undefined,
  role: PlacedConnection["role"],
): StatementResult {
  if (reply === undefined) throw new Error("a completed statement must have a reply");
  const isWritten = findEffect(work) === "write" && reply.end.type === "complete";
  const { mark } = reply;
  return isWritten && role === "primary" && mark !== undefined
    ? { reply, commitMark: mark }
    : { reply };
}

/** Sets the session's state and the prepared statement on the connection. Drops it and returns false on failure. */
export async function prepareLink(
  context: SessionContext,
  placement: PlacedConnection,
  prepared: PreparedDefinition | undefined,
  deadlineAt: number,
): Promise<boolean> {
  const leftMs = deadlineAt - context.ports.clock.now();
  const stopTimer = startSilenceTimer(context, placement);
  const isFit = await placement.link.prepare({ values: context.values, prepared }, leftMs);
  stopTimer();
  if (!isFit) {
    placement.group.noteFailure(placement.target);
    placement.drop();
  }
  return isFit;
}

/** Records why an attempt failed, so that the next one goes to another target or follows after a pause. */
async function handleFailedAttempt(
  context: SessionContext,
  placement: PlacedConnection,
  reason: string,
  state: AttemptState,
): Promise<void> {
  const { excluded } = state;
  state.lastReason = reason;
  context.trace.noteReason(reason);
  if (placement.role === "replica") excluded.add(placement.target);
  if (reason === "lagging") {
    placement.group.noteLagging(placement.target);
    return;
  }
  if (reason === "busy" && placement.role === "replica" && state.attempts === 1) return;
  if (reason === "busy") excluded.clear();
  await pauseBeforeRetry(context.ports, state.attempts, state.deadlineAt);
}

function findAttemptTimeout(work: Work, leftMs: number, context: SessionContext): number {
  if (findEffect(work) === "write") return leftMs;
  return Math.min(leftMs, context.database.action.deadlineMs * readAttemptFraction);
}

/** Refuses a statement that ran out of time or attempts. Writes were refused each time; reads have no effect. */
function giveUp(context: SessionContext, work: Work, state: AttemptState): StatementResult {
  const { logger } = context.ports;
  const { attempts: tries, lastReason } = state;
  const { session, database } = context;
  const level = describeLevel(database.action);
  logger.write(directEvents.timedOut, { id: work.id, session, tries, lastReason, ...level });
  const reason = `no result after ${tries} attempts; last failure: ${lastReason}`;
  return { reply: failLocally("busy", describeRefusal(reason, outOfTimeRetryMs), "idle") };
}
