import { assertInvariant } from "../model/index.js";
import type { SessionStep } from "../session/index.js";
import { backendTypes, hasStatedLength } from "./message.js";
import type { CallerOutput } from "./output.js";
import type { ExpectedReply } from "./plan.js";

/**
 * Forwards the target's answer to one batch and checks it against the request, so that no caller
 * receives an incomplete answer or another caller's. The last `CommandComplete` is held back until
 * the outcome is known: a caller must not see a write as done when its acknowledgement then fails.
 */
export class AnswerRelay {
  /** Changes to the session that follow from the replies received so far. */
  readonly sessionSteps: SessionStep[] = [];
  /** Whether the target answered with an error. */
  hasFailed = false;
  /** Whether a byte was sent to the caller. */
  hasForwarded = false;
  /** Whether the answer contradicts the request; the caller's connection can't be used any more. */
  hasMismatch = false;
  private completedCommands = 0;
  private nextReply = 0;
  private heldCompletion: Uint8Array | undefined;
  private hasEnded = false;

  constructor(
    private readonly output: CallerOutput,
    private readonly replies: readonly ExpectedReply[] | undefined,
  ) {}

  /**
   * Checks and forwards one message of the answer. The promise, where there is one, resolves once
   * the caller has read enough.
   */
  readonly accept = (message: Uint8Array): Promise<void> | undefined => {
    if (this.hasMismatch) return undefined;
    if (!this.checkAnswer(!this.hasEnded, () => "a message arrived after the end of the answer"))
      return undefined;
    if (
      !this.checkAnswer(
        hasStatedLength(message),
        () => "a message is not as long as its header states",
      )
    )
      return undefined;
    const classification = this.recordMessage(message[0] ?? 0);
    if (!this.checkAnswer(classification !== "unexpected", () => describeMismatch(message)))
      return undefined;
    return classification === "dropped" ? undefined : this.forward(message);
  };

  /** Ends an answer whose outcome is known, and sends the `CommandComplete` that was held back. */
  finish(): void {
    const isComplete =
      this.replies === undefined
        ? this.completedCommands > 0
        : this.nextReply === this.replies.length;
    if (!this.hasMismatch) {
      this.checkAnswer(
        isComplete || this.hasFailed,
        () => "the answer ended before its last expected reply",
      );
    }
    if (this.heldCompletion !== undefined && !this.hasMismatch)
      void this.output.write(this.heldCompletion);
    this.close();
  }

  /** Ends an answer that failed, and drops the `CommandComplete` that was held back. */
  close(): void {
    this.hasEnded = true;
    this.heldCompletion = undefined;
  }

  private forward(message: Uint8Array): Promise<void> | undefined {
    const previous = this.heldCompletion;
    const isComplete = message[0] === backendTypes.commandComplete;
    this.hasForwarded ||= previous !== undefined || !isComplete;
    // Copied, since the sender may reuse the buffer once this returns.
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
        // Belongs to the shared connection to the target, not to this caller.
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
  return `a message of type ${String.fromCharCode(message[0] ?? 0)} does not match the request`;
}
