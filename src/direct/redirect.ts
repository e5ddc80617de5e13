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

/** Why a read is left to another process. */
export interface RedirectCause {
  readonly reason: string;
  /** Whether it goes to a gateway of another region, rather than to the primary's gateway. */
  readonly leavesRegion: boolean;
}

/** Whether other processes can be reached that may run a read instead of this one. */
export interface RedirectDestinations {
  /** Whether another process is the primary's gateway. */
  readonly hasPrimaryGateway: () => boolean;
  /** Whether another region has a gateway of the group. */
  readonly hasRemoteGateway: () => boolean;
}

/**
 * Lets a process leave one read to the primary's gateway instead of running it at the primary itself, or to
 * another region if its own has no target for it. Whoever offers it sends the read there when `cause` is set;
 * nothing has run then.
 */
export class RedirectOffer {
  private acceptedCause: RedirectCause | undefined;
  private isWithdrawn = false;

  constructor(private readonly destinations: RedirectDestinations) {}

  /** Why the statement was redirected; undefined while it was not. */
  get cause(): RedirectCause | undefined {
    return this.acceptedCause;
  }

  /** Whether the statement may be redirected to the primary's gateway now. */
  get isOpen(): boolean {
    return this.isAcceptable && this.destinations.hasPrimaryGateway();
  }

  /** Whether the statement may be redirected to another region now. */
  get canLeaveRegion(): boolean {
    return this.isAcceptable && this.destinations.hasRemoteGateway();
  }

  /** Accepts the offer: this process does not run the statement. */
  accept(cause: RedirectCause): void {
    this.acceptedCause = cause;
  }

  /** Rules out a redirect because an attempt may have run. */
  withdraw(): void {
    this.isWithdrawn = true;
  }

  private get isAcceptable(): boolean {
    return !this.isWithdrawn && this.acceptedCause === undefined;
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
