import { createMalformedError } from "./codec.js";

const headerBytes = 5;

/**
 * Splits bytes into messages of the database protocol. Throws `ConnectError` when the last message is
 * incomplete.
 */
export function* splitMessages(bytes: Uint8Array): Generator<Uint8Array, void> {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length);
  for (let offset = 0; offset < bytes.length;) {
    const remaining = bytes.length - offset;
    const length = remaining < headerBytes ? remaining + 1 : view.getUint32(offset + 1) + 1;
    if (length < headerBytes || length > remaining)
      throw createMalformedError("an answer ends inside a message");
    yield bytes.subarray(offset, offset + length);
    offset += length;
  }
}
