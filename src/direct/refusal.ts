import { directEvents } from "../log/events/direct.js";
import { failLocally, type Reply, type SessionState } from "../statement/index.js";
import type { SessionContext } from "./context.js";
import { describeLevel } from "./levels.js";
import { describeRefusal } from "./pause.js";
import type { RefusedPlacement } from "./placement.js";

/** Why a statement is refused before it ran, with the inputs of that decision. */
export type Refusal = Omit<RefusedPlacement, "type">;

/** Logs a refusal and builds the answer for the caller. `id` is absent for the first statement of a transaction. */
export function refuseStatement(
  { session, trace, ports, database }: SessionContext,
  { reason, retryAfterMs, waitedFor, queue }: Refusal,
  state: SessionState,
  id?: string,
): Reply {
  trace.noteReason(reason);
  const fields = { session, reason, retryAfterMs, waitedFor, ...queue };
  const named = id === undefined ? {} : { id };
  ports.logger.write(directEvents.refused, {
    ...named,
    ...fields,
    ...describeLevel(database.action),
  });
  return failLocally("busy", describeRefusal(reason, retryAfterMs), state);
}
