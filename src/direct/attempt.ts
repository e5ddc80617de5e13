import type { Mark } from "../model/index.js";
import type { CommandResult, ErrorCode, TargetCommand } from "../statement/index.js";
import type { ReadRequirement, SessionContext } from "./context.js";
import {
  placeStatement,
  type PlacedConnection,
  type PlacementResult,
  type PlacementRequest,
} from "./placement.js";

/**
 * From this time without an answer on a primary counts as silent and is looked after, in milliseconds:
 * longer than most statements take, 14 to 55 ms on average. Statements run out of their time one after the
 * other on few connections: a dark primary would be suspected seconds later.
 */
const silenceThresholdMs = 150;

/** Finds a target for one try of a session's statement or transaction, and takes a connection to it. */
export function placeAttempt(
  { ports, group, database, team, nextId, disconnectSignal: gone }: SessionContext,
  need: ReadRequirement,
  limits: Pick<PlacementRequest, "excluded" | "deadlineAt">,
): Promise<PlacementResult> {
  return placeStatement(ports, group, {
    ...limits,
    id: nextId(),
    database,
    team: team?.name ?? "",
    needsPrimary: need.type === "primary",
    hasRequiredMark: need.type === "replica",
    isBackground: database.action.priority === "browsing",
    signal: gone,
  });
}

/** Tells when the target has left what was sent to it without an answer for too long. */
export function startSilenceTimer(context: SessionContext, place: PlacedConnection): () => void {
  if (place.role !== "primary") return () => undefined;
  const { clock, primaries } = context.ports;
  const since = clock.now();
  const timer = setTimeout(() => {
    primaries.noteSilence(place.group.name, place.target, since);
  }, silenceThresholdMs);
  return () => clearTimeout(timer);
}

/**
 * Sends one command on a held connection and takes in what the answer tells of the target. A
 * connection that broke is closed for good.
 */
export async function sendCommand(
  context: SessionContext,
  place: PlacedConnection,
  command: TargetCommand,
  timeoutMs: number,
): Promise<CommandResult> {
  const { clock, primaries } = context.ports;
  const askedAt = clock.now();
  const stopWatch = startSilenceTimer(context, place);
  const result = await place.link.link.run(command, timeoutMs);
  stopWatch();
  const isAnswered = result.type === "answered";
  if (place.role === "primary") {
    primaries.noteContact(place.group.name, place.target, isAnswered && !hasRefusedWrites(result));
  }
  if (!isAnswered) {
    place.group.noteFailure(place.target);
    place.drop();
    return result;
  }
  place.noteProgress();
  place.group.noteAnswer(place.target);
  if (hasReportedBusy(result)) place.group.noteSaturated(place.target);
  notePosition(context, place, result.reply.mark, askedAt);
  return result;
}

/** A primary that takes no writes any more has lost the lead to another. */
function hasRefusedWrites(result: CommandResult): boolean {
  return hasFailedWith(result, "readOnly");
}

/** All slots of the target were taken. */
function hasReportedBusy(result: CommandResult): boolean {
  return hasFailedWith(result, "busy");
}

function hasFailedWith(result: CommandResult, code: ErrorCode): boolean {
  if (result.type !== "answered") return false;
  const { end } = result.reply;
  return end.type === "error" && end.code === code;
}

/**
 * Whether a target still is what it was chosen as. Asked right before a statement is sent to a
 * primary: for up to its whole time it has waited for a slot and a connection, and a primary that was
 * replaced meanwhile answers a plain read as the replica that it is by now. Its caller would miss what
 * the new one acknowledged. Whoever replaces a primary waits until every proxy knows, or its
 * permission has lapsed, so that what is sent after this question is never late.
 */
export function isStillPrimary(context: SessionContext, place: PlacedConnection): boolean {
  if (place.role !== "primary") return true;
  const primary = context.ports.primaries.find(place.group.name);
  return primary.type === "serving" && primary.target === place.target;
}

/** Why a statement was not sent to a target that leads no more. */
export const supersededReason = "the target leads no more";

/**
 * Notes where the primary's log ended. Asked whether it is still the primary after its answer came:
 * the mark of one that was superseded meanwhile would make old data look young.
 */
function notePosition(
  context: SessionContext,
  place: PlacedConnection,
  mark: Mark | undefined,
  askedAt: number,
): void {
  if (mark === undefined || place.role !== "primary") return;
  if (!isStillPrimary(context, place)) return;
  place.group.notePrimaryMark(place.target, mark, askedAt);
}
