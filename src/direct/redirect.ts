import { gatewayEvents } from "../log/events/gateway.js";
import { failLocally, type Reply } from "../statement/index.js";
import type { SessionContext } from "./context.js";
import { describeRefusal } from "./pause.js";

/** With less time left a redirected statement could not be answered elsewhere, in milliseconds. */
export const minRedirectMs = 10;
/**
 * The shortest time between two reads by which a process learns the end of the primary's log, in milliseconds:
 * a round trip between regions, the opening of a connection and a short statement.
 */
export const positionReadIntervalMs = 100;
/** The retry hint of a redirected statement that nobody ran. */
const redirectRetryMs = 50;

/**
 * Lets a process leave one read to the primary's gateway instead of running it at the primary itself. Whoever
 * offers it sends the read there when `reason` is set; nothing has run then.
 */
export class RedirectOffer {
  private acceptedReason: string | undefined;
  private isWithdrawn = false;

  /** `isPossible` says whether another process is the primary's gateway and can be reached. */
  constructor(private readonly isPossible: () => boolean) {}

  /** Why the statement was redirected; undefined while it was not. */
  get reason(): string | undefined {
    return this.acceptedReason;
  }

  /** Whether the statement may be redirected now. */
  get isOpen(): boolean {
    return !this.isWithdrawn && this.acceptedReason === undefined && this.isPossible();
  }

  /** Accepts the offer: this process does not run the statement. */
  accept(reason: string): void {
    this.acceptedReason = reason;
  }

  /** Rules out a redirect because an attempt may have run. */
  withdraw(): void {
    this.isWithdrawn = true;
  }
}

/** Records a redirect. Returns the reply for the case that the statement is not run elsewhere either. */
export function endAsRedirected(
  { ports, session, group, trace }: SessionContext,
  id: string,
  reason: string,
  state: Reply["state"],
): Reply {
  ports.logger.write(gatewayEvents.redirected, { id, session, group: group.name, reason });
  ports.onRedirect(group.name);
  trace.noteReason(`redirected: ${reason}`);
  return failLocally("busy", describeRefusal(reason, redirectRetryMs), state);
}
