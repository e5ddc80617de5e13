import { ProtocolError } from "./frame.js";
import { frontendTypes, messageHeaderBytes, readCString } from "./message.js";

/** The messages that a caller sends together and that get one answer. */
export type Batch =
  | { readonly type: "query"; readonly text: string; readonly message: Uint8Array }
  | { readonly type: "functionCall"; readonly message: Uint8Array }
  /** Extended-query messages without the final `Sync` or `Flush`. A `Flush` gets no `ReadyForQuery`. */
  | {
      readonly type: "extended";
      readonly messages: readonly Uint8Array[];
      readonly end: "sync" | "flush";
    };

/**
 * Collects a caller's messages into batches. A `Flush` ends a batch only if the batch has no `Bind`
 * or `Execute`, so that nothing runs. After one of these, `Flush` is ignored and the answer is sent
 * at the `Sync`: otherwise a statement without its `Sync` would occupy a connection to the target
 * for as long as the caller likes.
 */
export class BatchCollector {
  private messages: Uint8Array[] = [];
  private collectedBytes = 0;
  private hasBound = false;

  constructor(private readonly maxBytes: number) {}

  /** Whether messages were collected whose `Sync` or `Flush` has not arrived. */
  get hasMessages(): boolean {
    return this.messages.length > 0;
  }

  /** Adds one message and returns the batch that it ends. Copies the bytes. Throws `ProtocolError`. */
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
        // As in PostgreSQL, the rest of a refused COPY is ignored.
        return undefined;
      default:
        throw new ProtocolError(`unexpected message type ${type}`);
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
