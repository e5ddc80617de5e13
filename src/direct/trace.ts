import type { Mark } from "../model/index.js";
import type { LogFields } from "../log/index.js";
import type { PlacedConnection } from "./placement.js";

/** What a gateway told of a statement that it ran for this process. */
export interface GatewayTrace {
  readonly gateway: string;
  /** Empty where the statement reached no target. */
  readonly target: string;
  readonly role: "primary" | "replica" | "none";
  /** Tries at targets, by the gateway. */
  readonly tries: number;
}

/** What decided one statement, gathered on its way for the line that tells its outcome. */
export class StatementTrace {
  private placement: PlacedConnection | undefined;
  private atLeast: Mark | undefined;
  private attempts = 0;
  private reason: string | undefined;
  private gatewayTrace: GatewayTrace | undefined;

  /** The role of the target that answered last; none when the statement reached no target. */
  get role(): "primary" | "replica" | "none" {
    return this.gatewayTrace?.role ?? this.placement?.role ?? "none";
  }

  /** The target that answered last; empty when the statement reached none. */
  get target(): string {
    return this.gatewayTrace?.target ?? this.placement?.target ?? "";
  }

  /** Tries at targets. */
  get attemptCount(): number {
    return this.gatewayTrace?.tries ?? this.attempts;
  }

  /** Notes a try at a target, and the mark that it had to hold. */
  noteAttempt(place: PlacedConnection, atLeast?: Mark): void {
    this.placement = place;
    this.atLeast = atLeast;
    this.attempts += 1;
  }

  /** Notes what a gateway told of the statement. */
  noteGateway(hop: GatewayTrace): void {
    this.gatewayTrace = hop;
  }

  /** Notes why a try, or the statement, failed. */
  noteReason(reason: string): void {
    this.reason = reason;
  }

  describe(): LogFields {
    const { gatewayTrace: hop, target, role, atLeast, attemptCount: tries, reason } = this;
    return {
      tries,
      ...(hop === undefined ? {} : { gateway: hop.gateway }),
      ...(target === "" ? {} : { target, role }),
      ...(atLeast === undefined ? {} : { atLeast: `${atLeast.term.round}.${atLeast.offset}` }),
      ...(reason === undefined ? {} : { reason }),
    };
  }
}
