import {
  describeLevel,
  describeRefusal,
  type SessionContext,
  type StatementResult,
} from "../direct/index.js";
import { gatewayEvents } from "../log/events/gateway.js";
import { failLocally, type Reply } from "../statement/index.js";
import type { GatewayAnswer } from "./codec.js";

/**
 * The retry delay that a caller is told when no gateway accepted its statement, in milliseconds. By then the
 * list of proxies has been read again.
 */
const noGatewayRetryMs = 500;

/** Converts a gateway's answer to the end of a statement; only the mark of a commit of this session is kept. */
export function toStatementEnd({ reply, isWritten }: GatewayAnswer): StatementResult {
  return isWritten && reply.mark !== undefined ? { reply, commitMark: reply.mark } : { reply };
}

/** Logs and builds the refusal for when no gateway accepted a statement. Nothing has run. */
export function refuseWithoutGateway(
  { session, database, ports, trace }: SessionContext,
  id: string,
  state: Reply["state"],
): Reply {
  const reason = "no gateway of the group accepted the statement";
  trace.noteReason(reason);
  ports.logger.write(gatewayEvents.noGateway, { id, session, ...describeLevel(database.action) });
  return failLocally("busy", describeRefusal(reason, noGatewayRetryMs), state);
}
