import { ProtocolError } from "./frame.js";
import { frontendTypes, messageHeaderBytes, readCString } from "./message.js";

/** What a caller sends at once and gets one answer to. */
export type Batch =
  | { readonly type: "query"; readonly text: string; readonly message: Uint8Array }
  | { readonly type: "functionCall"; readonly message: Uint8Array }
  /** Extended messages without their `Sync` or `Flush`. After a `Flush` no `ReadyForQuery` is due. */
  | {
      readonly type: "extended";
      readonly messages: readonly Uint8Array[];
      readonly end: "sync" | "flush";
    };

/**
 * Gathers messages into batches. A `Flush` ends one only while nothing was bound: such a batch runs
 * nothing. Behind a `Bind` or `Execute` it is left out and the answer comes at the `Sync`, since a
 * statement without its end would hold a target's connection for as long as the caller likes.
 */
export class BatchCollector {
  private messages: Uint8Array[] = [];
  private collectedBytes = 0;
  private hasBound = false;

  constructor(private readonly maxBytes: number) {}

  /** Whether messages wait for their `Sync`. */
  get hasMessages(): boolean {
    return this.messages.length > 0;
  }

  /** Takes one message, whose bytes are copied where they are kept. Throws `ProtocolError`. */
  add(message: Uint8Array): Batch | undefined {
    const type = message[0] ?? 0;
    switch (type) {
      case frontendTypes.query:
        return { type: "query", text: readQuery(message), message: Buffer.from(message) };
      case frontendTypes.functionCall:
        return { type: "functionCall", message: Buffer.from(message) };
      case frontendTypes.sync:
        return this.completeBatch("sync");
      case frontendTypes.flush:
        return this.hasBound || !this.hasMessages ? undefined : this.completeBatch("flush");
      case frontendTypes.bind:
      case frontendTypes.execute:
        this.hasBound = true;
        this.append(message);
        return undefined;
      case frontendTypes.parse:
      case frontendTypes.describe:
      case frontendTypes.close:
        this.append(message);
        return undefined;
      case frontendTypes.copyData:
      case frontendTypes.copyDone:
      case frontendTypes.copyFail:
        // As PostgreSQL does: what is left of a copy that was refused is passed over.
        return undefined;
      default:
        throw new ProtocolError(`message type ${type} out of place`);
    }
  }

  private append(message: Uint8Array): void {
    this.collectedBytes += message.length;
    if (this.collectedBytes > this.maxBytes)
      throw new ProtocolError("too many bytes before a Sync");
    this.messages.push(Buffer.from(message));
  }

  private completeBatch(end: "sync" | "flush"): Batch {
    const { messages } = this;
    this.messages = [];
    this.collectedBytes = 0;
    this.hasBound = false;
    return { type: "extended", messages, end };
  }
}

function readQuery(message: Uint8Array): string {
  const query = readCString(message, messageHeaderBytes);
  if (query?.end !== message.length) throw new ProtocolError("malformed query");
  return query.text;
}
