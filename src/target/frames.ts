const headerBytes = 5;
const lengthOffset = 1;
const maxMessageBytes = 1 << 30;

/** Splits a byte stream into complete protocol messages, including their type byte and length. */
export class FrameSplitter {
  private chunks: Buffer[] = [];
  private byteCount = 0;

  /** Whether a message has begun and is not complete. */
  get hasPartialMessage(): boolean {
    return this.byteCount > 0;
  }

  /** Adds a chunk and returns the messages that it completes. Throws if a length field is invalid. */
  push(chunk: Buffer): readonly Buffer[] {
    this.chunks.push(chunk);
    this.byteCount += chunk.length;
    if (this.byteCount < this.getNeededBytes()) return [];
    const [only = chunk, ...more] = this.chunks;
    return this.split(more.length === 0 ? only : Buffer.concat(this.chunks));
  }

  /** Returns the length of the first message, or that of a header while the header is incomplete. */
  private getNeededBytes(): number {
    const [first] = this.chunks;
    if (first === undefined || this.byteCount < headerBytes) return headerBytes;
    if (first.length < headerBytes) this.chunks = [Buffer.concat(this.chunks)];
    return readLength(this.chunks[0] ?? first, 0);
  }

  private split(data: Buffer): readonly Buffer[] {
    const messages: Buffer[] = [];
    let start = 0;
    while (data.length - start >= headerBytes) {
      const end = start + readLength(data, start);
      if (end > data.length) break;
      messages.push(data.subarray(start, end));
      start = end;
    }
    this.chunks = start < data.length ? [data.subarray(start)] : [];
    this.byteCount = data.length - start;
    return messages;
  }
}

function readLength(data: Buffer, start: number): number {
  const length = data.readInt32BE(start + lengthOffset);
  if (length < headerBytes - lengthOffset || length > maxMessageBytes) {
    throw new Error(`invalid message length: ${length} bytes`);
  }
  return length + lengthOffset;
}
