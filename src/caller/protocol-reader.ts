import type { Socket } from "node:net";
import { PostgresConnection } from "pg-gateway";
import { FrameValidator, ProtocolError } from "./frame.js";

const sslRequestCode = 80877103;
const gssRequestCode = 80877104;
const cancelRequestCode = 80877102;
const cancelRequestLength = 16;

/** What a caller asks for before its start-up message. */
export type PreStartupRequest =
  | { readonly type: "ssl" }
  | { readonly type: "gss" }
  | { readonly type: "cancel"; readonly processId: number; readonly secret: number };

/** Hears of a caller's messages, each called synchronously and in order. */
export interface ProtocolHandlers {
  /** Must not start a new `Wire` on the socket before `take` has returned. */
  onPreStartupRequest(request: PreStartupRequest): void;
  onStartup(parameters: Readonly<Record<string, string>>): void;
  /** The bytes are valid only during the call. */
  onMessage(message: Uint8Array): void;
  onBytesReceived(count: number): void;
  /** All bytes at hand have been taken in; the socket may be paused now. */
  onChunkProcessed(): void;
  onProtocolError(error: ProtocolError): void;
}

/**
 * Reads a caller's bytes with pg-gateway. Its `handleData` is asynchronous and has no queue, so two
 * chunks could mix; it stays in order since every handler here returns synchronously, and the
 * library then yields only to the microtask queue, which is empty before the next chunk is read.
 * It is given no more than one message at a time: of several it cuts the second one wrong.
 */
export class ProtocolReader {
  private readonly gateway: PostgresConnection;
  private readonly frameValidator: FrameValidator;
  private preStartupRequest: PreStartupRequest | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: ProtocolHandlers,
    maxMessageBytes: number,
  ) {
    this.frameValidator = new FrameValidator(maxMessageBytes);
    this.gateway = new PostgresConnection(socket, {
      authMode: "none",
      onStartup: ({ clientInfo }) => {
        this.frameValidator.expectTypedMessages();
        this.callHandler(() => handlers.onStartup(clientInfo?.parameters ?? {}));
        return true;
      },
      onMessage: (message, { hasStarted }) =>
        hasStarted ? this.handleMessage(message) : this.handlePreStartupMessage(message),
    });
    this.gateway.detach();
    socket.on("data", this.onData);
  }

  /** Whether a message has begun and not ended. */
  get isPartial(): boolean {
    return this.frameValidator.isPartial;
  }

  /** Stops reading; the socket goes to another reader. */
  detach(): void {
    this.socket.off("data", this.onData);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.handlers.onBytesReceived(chunk.length);
    this.processChunk(chunk).catch((error: unknown) => this.fail(error));
  };

  private async processChunk(chunk: Buffer): Promise<void> {
    for (let from = 0; from < chunk.length;) {
      const to = this.frameValidator.validate(chunk, from);
      await this.gateway.handleData(chunk.subarray(from, to));
      from = to;
      if (this.preStartupRequest !== undefined) {
        this.finishPreStartup(this.preStartupRequest, chunk.length - from);
        return;
      }
    }
    this.handlers.onChunkProcessed();
  }

  /**
   * Bytes behind a request for encryption may have been put there by somebody in between, who wants
   * them taken for the caller's own once the line is encrypted. An honest caller waits.
   */
  private finishPreStartup(request: PreStartupRequest, bytesLeft: number): void {
    this.detach();
    if (bytesLeft > 0) throw new ProtocolError("bytes follow a request that wants an answer first");
    this.handlers.onPreStartupRequest(request);
  }

  private handleMessage(message: Uint8Array): boolean {
    this.callHandler(() => this.handlers.onMessage(message));
    return true;
  }

  private handlePreStartupMessage(message: Uint8Array): boolean {
    this.preStartupRequest = parsePreStartupRequest(message);
    return this.preStartupRequest !== undefined;
  }

  private callHandler(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.fail(error);
    }
  }

  private fail(error: unknown): void {
    this.detach();
    const isProtocolError = error instanceof ProtocolError;
    this.handlers.onProtocolError(isProtocolError ? error : new ProtocolError(String(error)));
  }
}

function parsePreStartupRequest(message: Uint8Array): PreStartupRequest | undefined {
  const bytes = Buffer.from(message.buffer, message.byteOffset, message.length);
  switch (bytes.readInt32BE(4)) {
    case sslRequestCode:
      return { type: "ssl" };
    case gssRequestCode:
      return { type: "gss" };
    case cancelRequestCode:
      if (bytes.length !== cancelRequestLength) return { type: "cancel", processId: 0, secret: 0 };
      return { type: "cancel", processId: bytes.readInt32BE(8), secret: bytes.readInt32BE(12) };
    default:
      return undefined;
  }
}
