import {
  describeLevel,
  describeRefusal,
  type SessionContext,
  type StatementResult,
} from "../direct/index.js";
import { directEvents } from "../log/events/direct.js";
import { gatewayEvents } from "../log/events/gateway.js";
import type { EntryRefusal } from "./entry-loads.js";
import { failLocally, type Reply } from "../statement/index.js";
import type { GatewayAnswer } from "./codec.js";

/**
 * The retry delay that a caller is told when no gateway accepted its statement, in milliseconds. By then the
 * list of proxies has been read again.
 */
const noGatewayRetryMs = 500;

/** The retry delay after a redirect without time to follow it: the gateways of the primary serve. In milliseconds. */
const outOfTimeRetryMs = 50;

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

/** Logs and builds the refusal of a statement whose gateways would all refuse its level. Nothing has run. */
export function refuseByLoad(
  { session, ports, trace }: SessionContext,
  id: string,
  { level, retryAfterMs }: EntryRefusal,
  state: Reply["state"],
): Reply {
  const reason = "each gateway of the group refuses statements of this level";
  trace.noteReason(reason);
  const fields = { id, session, retryAfterMs: Math.ceil(retryAfterMs) };
  ports.logger.write(gatewayEvents.refusedByLoad, {
    ...fields,
    ...(level === undefined ? {} : { level }),
  });
  return failLocally("busy", describeRefusal(reason, retryAfterMs), state);
}

/** Logs and builds the refusal of a read that was redirected too late to be sent again. Nothing has run. */
export function refuseOutOfTime(
  { session, ports, trace }: SessionContext,
  id: string,
  state: Reply["state"],
): Reply {
  const reason = "the read needs the primary, and too little time is left to send it there";
  trace.noteReason(reason);
  const fields = { id, session, reason, retryAfterMs: outOfTimeRetryMs, waitedFor: [] };
  ports.logger.write(directEvents.refused, fields);
  return failLocally("busy", describeRefusal(reason, outOfTimeRetryMs), state);
}
