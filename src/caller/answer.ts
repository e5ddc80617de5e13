import { assertInvariant } from "../model/index.js";
import type { SessionStep } from "../session/index.js";
import { backend, isWholeMessage } from "./message.js";
import type { Output } from "./output.js";
import type { ExpectedReply } from "./plan.js";

/**
 * Hands one batch's answer on and holds it against what was asked, so that no caller gets a part of
 * an answer, or another's. The last `CommandComplete` waits for the outcome: a caller must not take
 * a write for done whose acknowledgement then fails.
 */
export class AnswerRelay {
  /** What the replies so far change in the session. */
  readonly steps: SessionStep[] = [];
  hasFailed = false;
  /** Whether a byte has gone to the caller. */
  hasBegun = false;
  /** The answer did not fit the request; the connection to the caller can't go on. */
  isBroken = false;
  private completions = 0;
  private next = 0;
  private held: Uint8Array | undefined;
  private hasEnded = false;

  constructor(
    private readonly output: Output,
    private readonly replies: readonly ExpectedReply[] | undefined,
  ) {}

  /** Takes one message of the answer. */
  readonly accept = (message: Uint8Array): Promise<void> | undefined => {
    if (this.isBroken) return undefined;
    if (!this.check(!this.hasEnded, () => "a message came after the answer's end"))
      return undefined;
    if (!this.check(isWholeMessage(message), () => "a message is cut short")) return undefined;
    const wasExpected = this.note(message[0] ?? 0);
    if (!this.check(wasExpected !== "unexpected", () => describeMessage(message))) return undefined;
    return wasExpected === "dropped" ? undefined : this.hand(message);
  };

  /** Ends an answer that came whole. */
  finish(): void {
    const isWhole =
      this.replies === undefined ? this.completions > 0 : this.next === this.replies.length;
    if (!this.isBroken) {
      this.check(isWhole || this.hasFailed, () => "the answer ended before its last reply");
    }
    if (this.held !== undefined && !this.isBroken) void this.output.write(this.held);
    this.close();
  }

  /** Ends an answer that failed: what waited for the outcome is dropped. */
  close(): void {
    this.hasEnded = true;
    this.held = undefined;
  }

  private hand(message: Uint8Array): Promise<void> | undefined {
    const before = this.held;
    const isComplete = message[0] === backend.commandComplete;
    this.hasBegun ||= before !== undefined || !isComplete;
    // The sender may use the bytes again once this returns.
    this.held = isComplete ? Buffer.from(message) : undefined;
    const sent = before === undefined ? undefined : this.output.write(before);
    return isComplete ? sent : this.output.write(message);
  }

  private note(type: number): "expected" | "dropped" | "unexpected" {
    switch (type) {
      case backend.errorResponse:
        this.hasFailed = true;
        return "expected";
      case backend.noticeResponse:
      case backend.parameterStatus:
        return "expected";
      case backend.notificationResponse:
        // The shared connection's, not this caller's.
        return "dropped";
      case backend.readyForQuery:
      case backend.copyInResponse:
        return "unexpected";
      default:
        return this.replies === undefined ? this.noteQuery(type) : this.noteReply(type);
    }
  }

  private noteQuery(type: number): "expected" {
    if (isCompletion(type) || type === functionCallResponse) this.completions += 1;
    return "expected";
  }

  private noteReply(type: number): "expected" | "dropped" | "unexpected" {
    const reply = this.replies?.[this.next];
    if (reply === undefined || this.hasFailed) return "unexpected";
    const match = matchReply(reply, type);
    if (match === "no") return "unexpected";
    if (match === "part") return "expected";
    this.next += 1;
    if (reply.type === "parse" || reply.type === "closeStatement") this.steps.push(reply.step);
    return reply.type === "injectedParse" ? "dropped" : "expected";
  }

  private check(holds: boolean, detail: () => string): boolean {
    if (holds) return true;
    this.isBroken = true;
    assertInvariant("wholeOwnAnswer", false, detail);
    return false;
  }
}

const functionCallResponse = 0x56;
const copyOutTypes: ReadonlySet<number> = new Set([0x48, 0x64, 0x63]);

function isCompletion(type: number): boolean {
  return type === backend.commandComplete || type === backend.emptyQueryResponse;
}

function matchReply(reply: ExpectedReply, type: number): "whole" | "part" | "no" {
  const whole = (holds: boolean) => (holds ? "whole" : "no");
  switch (reply.type) {
    case "injectedParse":
    case "parse":
      return whole(type === backend.parseComplete);
    case "bind":
      return whole(type === backend.bindComplete);
    case "closeStatement":
    case "closePortal":
      return whole(type === backend.closeComplete);
    case "describeStatement":
      if (type === backend.parameterDescription) return "part";
      return whole(type === backend.rowDescription || type === backend.noData);
    case "describePortal":
      return whole(type === backend.rowDescription || type === backend.noData);
    case "execute":
      if (type === backend.dataRow || copyOutTypes.has(type)) return "part";
      return whole(isCompletion(type) || type === backend.portalSuspended);
  }
}

function describeMessage(message: Uint8Array): string {
  return `a message of type ${String.fromCharCode(message[0] ?? 0)} does not fit the request`;
}
