const headerBytes = 5;
const lengthOffset = 1;
const maxMessageBytes = 1 << 30;

/** Splits a byte stream into whole protocol messages, type byte and length included. */
export class FrameSplitter {
  private chunks: Buffer[] = [];
  private byteCount = 0;

  /** Whether a message has begun that has not ended yet. */
  get hasPartialMessage(): boolean {
    return this.byteCount > 0;
  }

  /** Takes a chunk and hands back the messages that it completes. Throws on a false length. */
  push(chunk: Buffer): readonly Buffer[] {
    this.chunks.push(chunk);
    this.byteCount += chunk.length;
    if (this.byteCount < this.getNeededBytes()) return [];
    const [only = chunk, ...more] = this.chunks;
    return this.split(more.length === 0 ? only : Buffer.concat(this.chunks));
  }

  /** The bytes that the message at the front needs, as far as its header is there. */
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
    throw new Error(`a message of ${length} bytes can't be`);
  }
  return length + lengthOffset;
}
