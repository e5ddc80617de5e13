/** What a piece of input brought. */
export type LineEvent =
  | { readonly type: "line"; readonly text: string }
  /** A line outgrew the limit, or a line break is no CR LF; nothing after it can be trusted. */
  | { readonly type: "unreadable"; readonly reason: "tooLong" | "strayBreak" };

const carriageReturn = 0x0d;
const lineFeed = 0x0a;

/**
 * Cuts a stream into lines that end in CR LF. Bytes are kept as they are: Latin-1 maps each to one
 * character and back, so that opaque text is passed on unchanged whatever its encoding.
 *
 * A CR or an LF alone is refused. Passed on inside a statement it would end the line early at a
 * reader that takes it for a break, and the rest would run as a statement of its own.
 */
export class LineSplitter {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  private isBroken = false;

  constructor(private readonly maxBytes: number) {}

  /** Whether a line has begun and not ended. */
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
    // Joined only once a line ends: joining at each piece would copy a long line again and again.
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
