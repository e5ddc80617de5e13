import type { Socket } from "node:net";
import { PostgresConnection } from "pg-gateway";
import { FrameValidator, ProtocolError } from "./frame.js";

const sslRequestCode = 80877103;
const gssRequestCode = 80877104;
const cancelRequestCode = 80877102;
const cancelRequestLength = 16;

/** A request that a caller may send before its start-up message. */
export type PreStartupRequest =
  | { readonly type: "ssl" }
  | { readonly type: "gss" }
  | { readonly type: "cancel"; readonly processId: number; readonly secret: number };

/** Callbacks for a caller's messages, called synchronously and in order. */
export interface ProtocolHandlers {
  /**
   * Called after this reader has stopped reading from the socket, so that another may take over. It is
   * the last callback.
   */
  onPreStartupRequest(request: PreStartupRequest): void;
  /** Called with the parameters of the start-up message. */
  onStartup(parameters: Readonly<Record<string, string>>): void;
  /** `message` is valid only during the call. */
  onMessage(message: Uint8Array): void;
  /** Called with the size of each chunk before its messages are read. */
  onBytesReceived(count: number): void;
  /** Called once all bytes received so far are processed; the socket may be paused then. */
  onChunkProcessed(): void;
  /** Called when reading has stopped because of an error; other errors are wrapped. */
  onProtocolError(error: ProtocolError): void;
}

/**
 * Reads a caller's messages with pg-gateway. Its `handleData` is asynchronous and has no queue, so
 * two chunks could be interleaved. The order is kept because every handler here is synchronous: the
 * library then waits only for microtasks, and these finish before the next chunk is read. It gets at
 * most one message per call, since it splits the second of several messages at the wrong offset.
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

  /** Whether a message has arrived only in part. */
  get isPartial(): boolean {
    return this.frameValidator.isPartial;
  }

  /** Stops reading, so that another reader can use the socket. */
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
   * Refuses bytes that follow a request for encryption: an attacker on the network path may have
   * added them in plain text, so that they would count as the caller's own once the connection is
   * encrypted. A correct client waits for the reply first.
   */
  private finishPreStartup(request: PreStartupRequest, bytesLeft: number): void {
    this.detach();
    if (bytesLeft > 0)
      throw new ProtocolError(`${bytesLeft} bytes follow a request that must be answered first`);
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
