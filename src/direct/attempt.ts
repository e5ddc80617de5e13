import type { Mark } from "../model/index.js";
import {
  findEffect,
  type CommandResult,
  type ErrorCode,
  type TargetCommand,
} from "../statement/index.js";
import { assumedCrossingMs, type CrossingKind } from "../topology/index.js";
import type { ReadRequirement, SessionContext } from "./context.js";
import {
  placeStatement,
  type PlacedConnection,
  type PlacementResult,
  type PlacementRequest,
} from "./placement.js";

/**
 * A primary that has not answered for this long is reported as silent, in milliseconds. This is longer than
 * most statements take, 14 to 55 ms on average. Waiting for statements to time out instead would delay the
 * suspicion of an unreachable primary by seconds, as they time out one after the other on few connections.
 */
const silenceThresholdMs = 150;

/** Finds a target for one attempt at a statement or transaction, and acquires a connection to it. */
export async function placeAttempt(
  { ports, group, database, team, nextId, disconnectSignal, redirect, trace }: SessionContext,
  requirement: ReadRequirement,
  limits: Pick<PlacementRequest, "excluded" | "deadlineAt">,
): Promise<PlacementResult> {
  const startedAt = ports.clock.now();
  const placed = await placeStatement(ports, group, {
    ...limits,
    id: nextId(),
    database,
    team: team?.name ?? "",
    needsPrimary: requirement.type === "primary",
    hasRequiredMark: requirement.type === "replica",
    atLeast: requirement.type === "replica" ? requirement.atLeast : undefined,
    isBackground: database.action.priority === "browsing",
    signal: disconnectSignal,
    redirect,
  });
  trace.addWait(ports.clock.now() - startedAt);
  return placed;
}

/**
 * Starts a timer that reports the primary as silent unless the returned function is called in time. Does
 * nothing for replicas.
 */
export function startSilenceTimer(
  context: SessionContext,
  placement: PlacedConnection,
): () => void {
  if (placement.role !== "primary") return () => undefined;
  const { clock, primaries } = context.ports;
  const sentAt = clock.now();
  const crossingMs = placement.group.isRemote(placement.target) ? assumedCrossingMs : 0;
  const timer = setTimeout(() => {
    primaries.noteSilence(placement.group.name, placement.target, sentAt);
  }, silenceThresholdMs + crossingMs);
  return () => clearTimeout(timer);
}

/**
 * Sends one command on a held connection and updates the target's health, log position and contact state
 * from the result. A broken connection is dropped.
 */
export async function sendCommand(
  context: SessionContext,
  placement: PlacedConnection,
  command: TargetCommand,
  timeoutMs: number,
  kind: CrossingKind = findCrossingKind(command),
): Promise<CommandResult> {
  const { clock, primaries, onCrossing } = context.ports;
  const askedAt = clock.now();
  if (placement.group.isRemote(placement.target)) onCrossing(kind);
  const stopTimer = startSilenceTimer(context, placement);
  const result = await placement.link.link.run(command, timeoutMs);
  stopTimer();
  context.trace.addTargetTime(clock.now() - askedAt);
  const isBusy = hasReportedBusy(result);
  placement.noteCommand(clock.now() - askedAt, isBusy);
  const isAnswered = result.type === "answered";
  if (placement.role === "primary") {
    primaries.noteContact(
      placement.group.name,
      placement.target,
      isAnswered && !hasRefusedWrites(result),
    );
  }
  if (!isAnswered) {
    placement.group.noteFailure(placement.target);
    placement.drop();
    return result;
  }
  placement.noteProgress();
  placement.group.noteResponseTime(placement.target, clock.now() - askedAt);
  placement.group.noteAnswer(placement.target);
  if (isBusy) placement.group.noteSaturated(placement.target);
  notePosition(context, placement, result.reply.mark, askedAt);
  noteExpectation(context, placement, command, result);
  return result;
}

/** The kind of a command that crosses between regions; the caller knows of work inside a transaction. */
function findCrossingKind(command: TargetCommand): CrossingKind {
  switch (command.type) {
    case "work":
      return findEffect(command.work);
    case "begin":
    case "commit":
    case "rollback":
      return "transaction";
    case "reset":
    case "set":
    case "prepare":
    case "status":
    case "demote":
      return "control";
  }
}

/** Whether the target rejected a write as read-only: it is no longer the primary. */
function hasRefusedWrites(result: CommandResult): boolean {
  return hasFailedWith(result, "readOnly");
}

/** Whether all slots of the target were taken. */
function hasReportedBusy(result: CommandResult): boolean {
  return hasFailedWith(result, "busy");
}

function hasFailedWith(result: CommandResult, code: ErrorCode): boolean {
  if (result.type !== "answered") return false;
  const { end } = result.reply;
  return end.type === "error" && end.code === code;
}

/**
 * Whether a target that was chosen as primary still is the primary. Checked right before a statement is
 * sent, because waiting for a slot and a connection may have taken up to the statement's whole time. A
 * primary that was replaced meanwhile answers plain reads as a replica, and the caller would miss commits
 * that the new primary acknowledged. The check suffices because a change of primary waits until every
 * proxy has learnt of it or its permission to use the old primary has expired.
 */
export function isStillPrimary(context: SessionContext, placement: PlacedConnection): boolean {
  if (placement.role !== "primary") return true;
  const primary = context.ports.primaries.find(placement.group.name);
  return primary.type === "serving" && primary.target === placement.target;
}

/** Why a statement was not sent to a target that was replaced as primary. */
export const supersededReason = "the target is no longer the primary";
const drainedReason = "the target has left";

/**
 * Why a statement or transaction may not be sent to the target that was chosen for it; undefined if it may. The target
 * may have left while it waited for a slot and a connection. What a transaction sends later may still arrive.
 */
export function findBarrier(
  context: SessionContext,
  placement: PlacedConnection,
): string | undefined {
  if (context.ports.hasDrained(placement.target)) return drainedReason;
  return isStillPrimary(context, placement) ? undefined : supersededReason;
}

/**
 * Records where a target's log ended. For the primary, checks after the answer that the target is still the primary:
 * the mark of a replaced primary would make stale data count as fresh.
 */
function notePosition(
  context: SessionContext,
  placement: PlacedConnection,
  mark: Mark | undefined,
  askedAt: number,
): void {
  if (mark === undefined) return;
  if (placement.role === "replica") {
    // A target may have been removed since; its record would never be discarded.
    if (placement.group.isSlotPlanned && placement.group.hasTarget(placement.target))
      placement.group.positions.noteReplicaMark(placement.target, mark, askedAt);
    return;
  }
  if (!isStillPrimary(context, placement)) return;
  placement.group.notePrimaryMark(placement.target, mark, askedAt);
}

/** Compares a replica's answer to a read that required a position with what was expected. */
function noteExpectation(
  { ports }: SessionContext,
  { role, target, group, expectation }: PlacedConnection,
  command: TargetCommand,
  result: CommandResult,
): void {
  const requiresMark = command.type === "work" || command.type === "begin";
  const atLeast = requiresMark ? command.atLeast : undefined;
  if (role === "primary" || atLeast === undefined || !group.isSlotPlanned) return;
  const isLagging = hasFailedWith(result, "lagging");
  if (isLagging) group.positions.noteRefused(target, atLeast);
  const hasMark = result.type === "answered" && result.reply.end.type === "complete";
  if ((isLagging && expectation === "ready") || (hasMark && expectation === "late"))
    ports.onExpectedWrong?.(group.name);
}
