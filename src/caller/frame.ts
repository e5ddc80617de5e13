import { frontendTypes, messageHeaderBytes } from "./message.js";

/** A violation of the protocol by the caller; nothing more can be read from its connection. */
export class ProtocolError extends Error {
  override readonly name = "ProtocolError";
}

const maxStartupLength = 10_000;
const startupHeaderLength = 4;
const minStartupLength = 8;
const knownTypes: ReadonlySet<number> = new Set<number>(Object.values(frontendTypes));

/**
 * Tracks message boundaries in a caller's bytes without buffering them, and checks each length as
 * soon as it has arrived. The protocol library trusts the lengths: a huge one would make its buffer
 * grow without bound, and one below the header's size would make it loop for ever.
 */
export class FrameValidator {
  private hasTypeByte = false;
  private header: number[] = [];
  private remainingBytes = 0;

  constructor(private readonly maxMessageBytes: number) {}

  /** Whether a message has arrived only in part. */
  get isPartial(): boolean {
    return this.header.length > 0;
  }

  /** Ends the start-up: from here on each message begins with a type byte. */
  expectTypedMessages(): void {
    this.hasTypeByte = true;
  }

  /**
   * Checks the bytes from offset `from` to the end of a message or of the chunk and returns the
   * offset reached. Throws `ProtocolError`.
   */
  validate(chunk: Uint8Array, from: number): number {
    let at = from;
    while (at < chunk.length) {
      at = this.remainingBytes > 0 ? this.skipContent(chunk, at) : this.checkHeader(chunk, at);
      if (!this.isPartial) return at;
    }
    return at;
  }

  private skipContent(chunk: Uint8Array, at: number): number {
    const length = Math.min(this.remainingBytes, chunk.length - at);
    this.remainingBytes -= length;
    if (this.remainingBytes === 0) this.header = [];
    return at + length;
  }

  private checkHeader(chunk: Uint8Array, at: number): number {
    this.header.push(chunk[at] ?? 0);
    if (this.hasTypeByte && this.header.length === 1) this.checkType(chunk[at] ?? 0);
    const headerBytes = this.hasTypeByte ? messageHeaderBytes : startupHeaderLength;
    if (this.header.length === headerBytes) this.checkLength();
    return at + 1;
  }

  private checkType(type: number): void {
    if (!knownTypes.has(type)) throw new ProtocolError(`unknown message type ${type}`);
  }

  private checkLength(): void {
    const length = Buffer.from(this.header.slice(-4)).readUInt32BE();
    const min = this.hasTypeByte ? 4 : minStartupLength;
    const max = this.hasTypeByte ? this.maxMessageBytes : maxStartupLength;
    if (length < min || length > max)
      throw new ProtocolError(`message length ${length} is outside ${min} to ${max}`);
    this.remainingBytes = length - 4;
    if (this.remainingBytes === 0) this.header = [];
  }
}
