import { sizeDelimitedPeek } from "@bufbuild/protobuf/wire";

/**
 * The longest message, in bytes. It holds a caller's longest line of 1 MiB, each byte of which may take two
 * bytes in the message, and the same again for the session's values.
 */
export const maxFrameBytes = 4 * 1024 * 1024;

const noBytes = new Uint8Array(0);

/** Splits the data of a connection into length-prefixed messages. */
export class FrameReader {
  private rest: Uint8Array = noBytes;

  /**
   * Returns the messages that this chunk completes, or `tooLong` when a message exceeds the limit; the
   * connection must then be closed.
   */
  push(chunk: Uint8Array): readonly Uint8Array[] | "tooLong" {
    const frames: Uint8Array[] = [];
    let bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    for (;;) {
      const { size, offset } = sizeDelimitedPeek(bytes);
      if (size === null) break;
      if (size > maxFrameBytes) return "tooLong";
      if (bytes.length < offset + size) break;
      frames.push(bytes.subarray(offset, offset + size));
      bytes = bytes.subarray(offset + size);
    }
    this.rest = bytes;
    return frames;
  }
}
