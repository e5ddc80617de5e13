/** A line that was completed, or an error in the input. */
export type LineEvent =
  | { readonly type: "line"; readonly text: string }
  /** A line exceeds the limit, or a CR or LF stands alone. What follows can't be trusted and is discarded. */
  | { readonly type: "unreadable"; readonly reason: "tooLong" | "strayBreak" };

const carriageReturn = 0x0d;
const lineFeed = 0x0a;

/**
 * Splits a byte stream into lines that end with CR LF. Lines are decoded as Latin-1, which maps each byte
 * to one character and back, so that opaque text passes through unchanged whatever its encoding.
 *
 * A lone CR or LF is rejected. Forwarded inside a statement, it would end the line early for a reader that
 * accepts it as a line break, and the rest of the line would run as a separate statement.
 */
export class LineSplitter {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  private isBroken = false;

  constructor(private readonly maxBytes: number) {}

  /** Whether a line has begun and is not complete. */
  get hasPartialLine(): boolean {
    return this.pendingBytes > 0;
  }

  push(chunk: Buffer): readonly LineEvent[] {
    if (this.isBroken) return [];
    const events: LineEvent[] = [];
    const input = this.joinPending(chunk);
    let start = 0;
    for (;;) {
      const end = input.indexOf(lineFeed, start);
      if (end === -1) break;
      const event = readLine(input.subarray(start, end), this.maxBytes);
      events.push(event);
      if (event.type === "unreadable") return this.stop(events);
      start = end + 1;
    }
    return this.keepRest(input.subarray(start), events);
  }

  private joinPending(chunk: Buffer): Buffer {
    if (this.pendingBytes === 0) return chunk;
    // Chunks are joined only when a line ends: joining each one would copy a long line repeatedly.
    if (!chunk.includes(lineFeed) && this.pendingBytes + chunk.length <= this.maxBytes) {
      this.pending.push(chunk);
      this.pendingBytes += chunk.length;
      return Buffer.alloc(0);
    }
    const joined = Buffer.concat([...this.pending, chunk]);
    this.pending = [];
    this.pendingBytes = 0;
    return joined;
  }

  private keepRest(rest: Buffer, events: LineEvent[]): readonly LineEvent[] {
    if (rest.length === 0) return events;
    if (rest.length > this.maxBytes) {
      events.push({ type: "unreadable", reason: "tooLong" });
      return this.stop(events);
    }
    this.pending = [rest];
    this.pendingBytes = rest.length;
    return events;
  }

  private stop(events: LineEvent[]): readonly LineEvent[] {
    this.isBroken = true;
    this.pending = [];
    this.pendingBytes = 0;
    return events;
  }
}

function readLine(line: Buffer, maxBytes: number): LineEvent {
  if (line.length > maxBytes) return { type: "unreadable", reason: "tooLong" };
  const last = line.length - 1;
  if (last < 0 || line.indexOf(carriageReturn) !== last) {
    return { type: "unreadable", reason: "strayBreak" };
  }
  return { type: "line", text: line.toString("latin1", 0, last) };
}
