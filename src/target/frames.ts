const headerBytes = 5;
const lengthOffset = 1;
const maxMessageBytes = 1 << 30;

/** Splits a byte stream into whole protocol messages, type byte and length included. */
export class FrameSplitter {
  private parts: Buffer[] = [];
  private bytes = 0;

  /** Whether a message has begun that has not ended yet. */
  get isWithin(): boolean {
    return this.bytes > 0;
  }

  /** Takes a chunk and hands back the messages that it completes. Throws on a false length. */
  push(chunk: Buffer): readonly Buffer[] {
    this.parts.push(chunk);
    this.bytes += chunk.length;
    if (this.bytes < this.findNeeded()) return [];
    const [only = chunk, ...more] = this.parts;
    return this.split(more.length === 0 ? only : Buffer.concat(this.parts));
  }

  /** The bytes that the message at the front needs, as far as its header is there. */
  private findNeeded(): number {
    const [first] = this.parts;
    if (first === undefined || this.bytes < headerBytes) return headerBytes;
    if (first.length < headerBytes) this.parts = [Buffer.concat(this.parts)];
    return readLength(this.parts[0] ?? first, 0);
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
    this.parts = start < data.length ? [data.subarray(start)] : [];
    this.bytes = data.length - start;
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
