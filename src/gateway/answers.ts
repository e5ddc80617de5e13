import { describeRefusal, type SessionContext, type StatementEnd } from "../direct/index.js";
import { gatewayEvents } from "../log/events/gateway.js";
import { failLocally, type Reply } from "../statement/index.js";
import type { GatewayAnswer } from "./codec.js";

/** Told where no gateway took a statement: by then a listing has been read again. In milliseconds. */
const noGatewayRetryMs = 500;

/** What a gateway's answer means to the session. */
export function toStatementEnd({ reply, isWritten }: GatewayAnswer): StatementEnd {
  return isWritten && reply.mark !== undefined ? { reply, written: reply.mark } : { reply };
}

/** The answer where no gateway took a statement. Nothing has run. */
export function refuseWithoutGateway(
  { session, ports, trace }: SessionContext,
  id: string,
  state: Reply["state"],
): Reply {
  const reason = "no gateway of the group took it";
  trace.noteReason(reason);
  ports.logger.write(gatewayEvents.noGateway, { id, session });
  return failLocally("busy", describeRefusal(reason, noGatewayRetryMs), state);
}
