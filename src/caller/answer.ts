import { assertInvariant } from "../model/index.js";
import type { SessionStep } from "../session/index.js";
import { backendTypes, hasStatedLength } from "./message.js";
import type { CallerOutput } from "./output.js";
import type { ExpectedReply } from "./plan.js";

/**
 * Hands one batch's answer on and holds it against what was asked, so that no caller gets a part of
 * an answer, or another's. The last `CommandComplete` waits for the outcome: a caller must not take
 * a write for done whose acknowledgement then fails.
 */
export class AnswerRelay {
  /** What the replies so far change in the session. */
  readonly sessionSteps: SessionStep[] = [];
  hasFailed = false;
  /** Whether a byte has gone to the caller. */
  hasForwarded = false;
  /** The answer did not fit the request; the connection to the caller can't go on. */
  hasMismatch = false;
  private completedCommands = 0;
  private nextReply = 0;
  private heldCompletion: Uint8Array | undefined;
  private hasEnded = false;

  constructor(
    private readonly output: CallerOutput,
    private readonly replies: readonly ExpectedReply[] | undefined,
  ) {}

  /** Takes one message of the answer. */
  readonly accept = (message: Uint8Array): Promise<void> | undefined => {
    if (this.hasMismatch) return undefined;
    if (!this.checkAnswer(!this.hasEnded, () => "a message came after the answer's end"))
      return undefined;
    if (!this.checkAnswer(hasStatedLength(message), () => "a message is cut short"))
      return undefined;
    const classification = this.recordMessage(message[0] ?? 0);
    if (!this.checkAnswer(classification !== "unexpected", () => describeMismatch(message)))
      return undefined;
    return classification === "dropped" ? undefined : this.forward(message);
  };

  /** Ends an answer that came whole. */
  finish(): void {
    const isWhole =
      this.replies === undefined
        ? this.completedCommands > 0
        : this.nextReply === this.replies.length;
    if (!this.hasMismatch) {
      this.checkAnswer(isWhole || this.hasFailed, () => "the answer ended before its last reply");
    }
    if (this.heldCompletion !== undefined && !this.hasMismatch)
      void this.output.write(this.heldCompletion);
    this.close();
  }

  /** Ends an answer that failed: what waited for the outcome is dropped. */
  close(): void {
    this.hasEnded = true;
    this.heldCompletion = undefined;
  }

  private forward(message: Uint8Array): Promise<void> | undefined {
    const previous = this.heldCompletion;
    const isComplete = message[0] === backendTypes.commandComplete;
    this.hasForwarded ||= previous !== undefined || !isComplete;
    // The sender may use the bytes again once this returns.
    this.heldCompletion = isComplete ? Buffer.from(message) : undefined;
    const sent = previous === undefined ? undefined : this.output.write(previous);
    return isComplete ? sent : this.output.write(message);
  }

  private recordMessage(type: number): "expected" | "dropped" | "unexpected" {
    switch (type) {
      case backendTypes.errorResponse:
        this.hasFailed = true;
        return "expected";
      case backendTypes.noticeResponse:
      case backendTypes.parameterStatus:
        return "expected";
      case backendTypes.notificationResponse:
        // The shared connection's, not this caller's.
        return "dropped";
      case backendTypes.readyForQuery:
      case backendTypes.copyInResponse:
        return "unexpected";
      default:
        return this.replies === undefined
          ? this.recordSimpleQueryReply(type)
          : this.recordExpectedReply(type);
    }
  }

  private recordSimpleQueryReply(type: number): "expected" {
    if (isCompletion(type) || type === functionCallResponse) this.completedCommands += 1;
    return "expected";
  }

  private recordExpectedReply(type: number): "expected" | "dropped" | "unexpected" {
    const reply = this.replies?.[this.nextReply];
    if (reply === undefined || this.hasFailed) return "unexpected";
    const match = matchReply(reply, type);
    if (match === "mismatch") return "unexpected";
    if (match === "partial") return "expected";
    this.nextReply += 1;
    if (reply.type === "parse" || reply.type === "closeStatement")
      this.sessionSteps.push(reply.step);
    return reply.type === "injectedParse" ? "dropped" : "expected";
  }

  private checkAnswer(isValid: boolean, detail: () => string): boolean {
    if (isValid) return true;
    this.hasMismatch = true;
    assertInvariant("wholeOwnAnswer", false, detail);
    return false;
  }
}

const functionCallResponse = 0x56;
const copyOutTypes: ReadonlySet<number> = new Set([0x48, 0x64, 0x63]);

function isCompletion(type: number): boolean {
  return type === backendTypes.commandComplete || type === backendTypes.emptyQueryResponse;
}

function matchReply(reply: ExpectedReply, type: number): "complete" | "partial" | "mismatch" {
  const matchIf = (isLast: boolean) => (isLast ? "complete" : "mismatch");
  switch (reply.type) {
    case "injectedParse":
    case "parse":
      return matchIf(type === backendTypes.parseComplete);
    case "bind":
      return matchIf(type === backendTypes.bindComplete);
    case "closeStatement":
    case "closePortal":
      return matchIf(type === backendTypes.closeComplete);
    case "describeStatement":
      if (type === backendTypes.parameterDescription) return "partial";
      return matchIf(type === backendTypes.rowDescription || type === backendTypes.noData);
    case "describePortal":
      return matchIf(type === backendTypes.rowDescription || type === backendTypes.noData);
    case "execute":
      if (type === backendTypes.dataRow || copyOutTypes.has(type)) return "partial";
      return matchIf(isCompletion(type) || type === backendTypes.portalSuspended);
  }
}

function describeMismatch(message: Uint8Array): string {
  return `a message of type ${String.fromCharCode(message[0] ?? 0)} does not fit the request`;
}
