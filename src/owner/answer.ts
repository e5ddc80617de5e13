import type { MessageSink } from "../model/index.js";

const headerBytes = 5;
const commandComplete = "C".charCodeAt(0);
const errorResponse = "E".charCodeAt(0);
const sqlStateField = "C".charCodeAt(0);

/**
 * The types of the messages that precede rows and outcome: ParseComplete, BindComplete, CloseComplete,
 * NoData, ParameterDescription, RowDescription.
 */
const preludeTypes: ReadonlySet<string> = new Set(["1", "2", "3", "n", "t", "T"]);

/** The most bytes of one answer that are held; the request fails if the answer exceeds them. */
export const maxHeldBytes = 16 * 1024 * 1024;

/** Reads the tag of a `CommandComplete`, such as `INSERT 0 1`; `undefined` for other messages. */
export function readCommandTag(message: Uint8Array): string | undefined {
  if (message[0] !== commandComplete) return undefined;
  return readText(message, headerBytes).text;
}

/** Reads the SQLSTATE of an `ErrorResponse`; `undefined` for other messages. */
export function readSqlState(message: Uint8Array): string | undefined {
  if (message[0] !== errorResponse) return undefined;
  let at = headerBytes;
  while (at < message.length && message[at] !== 0) {
    const field = message[at];
    const { text, end } = readText(message, at + 1);
    if (field === sqlStateField) return text;
    at = end + 1;
  }
  return undefined;
}

function readText(message: Uint8Array, start: number): { text: string; end: number } {
  const terminator = message.indexOf(0, start);
  const end = terminator < 0 ? message.length : terminator;
  return { text: Buffer.from(message.subarray(start, end)).toString("utf8"), end };
}

/** Thrown into an exchange when the held part of its answer exceeds `maxHeldBytes`. */
export class HeldAnswerTooLargeError extends Error {
  override readonly name = "HeldAnswerTooLargeError";
}

/** Which part of an answer is held: nothing, everything from its first outcome on, or all of it. */
export type HoldMode = "none" | "outcome" | "all";

/**
 * Forwards an answer's rows up to its first outcome (a `CommandComplete` or an `ErrorResponse`) and
 * holds the rest until `release`. A caller that has received the outcome of a write considers the write
 * acknowledged; if the primary has been superseded by then, the write may still be lost. Rows before the
 * outcome acknowledge nothing.
 */
export class HeldAnswer {
  private readonly held: Uint8Array[] = [];
  private heldBytes = 0;
  private forwardedCount = 0;
  private readonly tagList: string[] = [];
  private errorState: string | undefined;

  constructor(
    private readonly sink: MessageSink,
    private readonly holdMode: HoldMode,
  ) {}

  /** Whether the caller may have received a part of the answer. */
  get hasForwarded(): boolean {
    return this.forwardedCount > 0;
  }

  /** The tags of the completed commands. */
  get tags(): readonly string[] {
    return this.tagList;
  }

  /** The SQLSTATE of the target's error; undefined if it reported none. */
  get sqlState(): string | undefined {
    return this.errorState;
  }

  /** The held messages, concatenated. */
  get heldMessages(): Uint8Array {
    return Buffer.concat(this.held);
  }

  readonly receive: MessageSink = (message) => {
    const tag = readCommandTag(message);
    if (tag !== undefined) this.tagList.push(tag);
    this.errorState = readSqlState(message) ?? this.errorState;
    if (this.mustHold() || this.isPrelude(message)) {
      this.hold(message);
      return;
    }
    return this.held.length > 0 ? this.releaseWith(message) : this.forward(message);
  };

  /** Forwards the held messages. */
  async release(): Promise<void> {
    for (const message of this.held.splice(0)) await this.forward(message);
    this.heldBytes = 0;
  }

  /** Discards the held messages, tags and error; the caller receives a verdict instead. */
  discard(): void {
    this.held.length = 0;
    this.heldBytes = 0;
    this.tagList.length = 0;
    this.errorState = undefined;
  }

  /**
   * Holds the prelude until rows or an outcome follow. If ParseComplete was forwarded at once, a prepared
   * write that a superseded primary refuses could not be retried, since the caller would receive
   * ParseComplete twice; it would get the target's bare error instead.
   */
  private isPrelude(message: Uint8Array): boolean {
    if (this.holdMode === "none" || this.hasForwarded) return false;
    return preludeTypes.has(String.fromCharCode(message[0] ?? 0));
  }

  private async releaseWith(message: Uint8Array): Promise<void> {
    await this.release();
    await this.forward(message);
  }

  private forward(message: Uint8Array): ReturnType<MessageSink> {
    this.forwardedCount += 1;
    return this.sink(message);
  }

  private mustHold(): boolean {
    switch (this.holdMode) {
      case "none":
        return false;
      case "outcome":
        return this.tagList.length > 0 || this.errorState !== undefined;
      case "all":
        return true;
    }
  }

  private hold(message: Uint8Array): void {
    this.heldBytes += message.length;
    if (this.heldBytes > maxHeldBytes) throw new HeldAnswerTooLargeError();
    this.held.push(Uint8Array.from(message));
  }
}

/** Splits concatenated whole messages. The results share the memory of `bytes`. */
export function splitMessages(bytes: Uint8Array): readonly Uint8Array[] {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const messages: Uint8Array[] = [];
  for (let at = 0; at + headerBytes <= view.length;) {
    const end = at + 1 + view.readInt32BE(at + 1);
    messages.push(view.subarray(at, end));
    at = end;
  }
  return messages;
}

/** Lists the types of concatenated messages, such as `PBDES`: the form in which a statement was sent. */
export function listMessageTypes(bytes: Uint8Array): string {
  return splitMessages(bytes)
    .map((message) => String.fromCharCode(message[0] ?? 0))
    .join("");
}
