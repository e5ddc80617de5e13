import type { Mark } from "../model/index.js";
import type { RateClaim } from "../rates/index.js";
import { isNotRun, type PreparedDefinition, type Work } from "../statement/index.js";
import { findBarrier, sendCommand } from "./attempt.js";
import { prepareLink, rateClaimLapsedReason } from "./autocommit.js";
import type { SessionContext } from "./context.js";
import type { PlacedConnection } from "./placement.js";

/** A rollback needs no slot; if it is not answered in this time, the connection is closed instead. */
const rollbackTimeoutMs = 1000;

/** The parameters for beginning a transaction on one connection. */
export interface BeginOptions {
  readonly isReadOnly: boolean;
  readonly work: Work | undefined;
  readonly atLeast: Mark | undefined;
  readonly deadlineAt: number;
  readonly claim: RateClaim;
}

/** Begins on a connection. On failure it releases or closes the connection and returns the reason. */
export async function beginOnConnection(
  context: SessionContext,
  placement: PlacedConnection,
  { isReadOnly, work, atLeast, deadlineAt, claim }: BeginOptions,
): Promise<string | undefined> {
  const prepared = findPrepared(work);
  if (!(await prepareLink(context, placement, prepared, deadlineAt))) return "the connection broke";
  const barrier = findBarrier(context, placement);
  if (barrier !== undefined) {
    placement.release();
    return barrier;
  }
  if (!claim.consume()) {
    placement.release();
    return rateClaimLapsedReason;
  }
  const mark = atLeast === undefined ? {} : { atLeast };
  const command = { type: "begin", isReadOnly, ...mark } as const;
  const leftMs = deadlineAt - context.ports.clock.now();
  const result = await sendCommand(context, placement, command, leftMs);
  if (result.type === "broken") {
    if (result.sent) context.redirect?.withdraw();
    else claim.noteNotRun();
    return result.reason;
  }
  const { end } = result.reply;
  if (end.type === "complete") return undefined;
  if (isNotRun(end.code)) claim.noteNotRun();
  else context.redirect?.withdraw();
  if (end.code === "lagging") placement.group.noteLagging(placement.target);
  await rollbackAndRelease(context, placement);
  return end.code;
}

/** Rolls back on a connection and returns it to its pool, or closes it if the rollback is not answered. */
export async function rollbackAndRelease(
  context: SessionContext,
  placement: PlacedConnection,
): Promise<void> {
  placement.startRollback();
  const result = await sendCommand(context, placement, { type: "rollback" }, rollbackTimeoutMs);
  if (result.type === "answered" && result.reply.state === "idle") placement.release();
  else placement.drop();
}

/** The prepared statement that some work executes. */
export function findPrepared(work: Work | undefined): PreparedDefinition | undefined {
  return work?.type === "execute" ? work.prepared : undefined;
}
