import type { Mark } from "../model/index.js";
import type { LogFields } from "../log/index.js";
import type { PlacedConnection } from "./placement.js";

/** What a gateway reported about a statement that it ran for this process. */
export interface GatewayTrace {
  readonly gateway: string;
  /** Empty if the statement reached no target. */
  readonly target: string;
  readonly role: "primary" | "replica" | "none";
  /** The number of attempts that the gateway made at targets. */
  readonly tries: number;
}

/** Collects how one statement was routed and retried, for the log line of its outcome. */
export class StatementTrace {
  private placement: PlacedConnection | undefined;
  private atLeast: Mark | undefined;
  private attempts = 0;
  private reason: string | undefined;
  private gatewayTrace: GatewayTrace | undefined;
  private waitMs = 0;
  private targetMs = 0;

  /** The role of the target of the last attempt; `none` if the statement reached no target. */
  get role(): "primary" | "replica" | "none" {
    return this.gatewayTrace?.role ?? this.placement?.role ?? "none";
  }

  /** The target of the last attempt; empty if the statement reached none. */
  get target(): string {
    return this.gatewayTrace?.target ?? this.placement?.target ?? "";
  }

  /** The number of attempts at targets, by the gateway if one ran the statement. */
  get attemptCount(): number {
    return this.gatewayTrace?.tries ?? this.attempts;
  }

  /** Records an attempt at a target, and the mark that its log must contain. */
  noteAttempt(placement: PlacedConnection, atLeast?: Mark): void {
    this.placement = placement;
    this.atLeast = atLeast;
    this.attempts += 1;
  }

  /** Adds to the time that the statement has waited for a slot and a connection, in milliseconds. */
  addWait(ms: number): void {
    this.waitMs += ms;
  }

  /** Adds to the time in which a target had a command of the statement, in milliseconds. */
  addTargetTime(ms: number): void {
    this.targetMs += ms;
  }

  /** Records what a gateway reported about the statement. */
  noteGateway(gatewayTrace: GatewayTrace): void {
    this.gatewayTrace = gatewayTrace;
  }

  /** Records why an attempt, or the statement, failed. */
  noteReason(reason: string): void {
    this.reason = reason;
  }

  describe(): LogFields {
    const { gatewayTrace, target, role, atLeast, attemptCount: tries, reason } = this;
    return {
      tries,
      ...(gatewayTrace === undefined ? {} : { gateway: gatewayTrace.gateway }),
      ...(target === "" ? {} : { target, role }),
      ...(this.waitMs < 1 ? {} : { waitMs: Math.round(this.waitMs) }),
      ...(this.targetMs < 1 ? {} : { targetMs: Math.round(this.targetMs) }),
      ...(atLeast === undefined ? {} : { atLeast: `${atLeast.term.round}.${atLeast.offset}` }),
      ...(reason === undefined ? {} : { reason }),
    };
  }
}
