import { createMalformedError } from "./codec.js";

const headerLength = 5;

/** Splits bytes into the whole messages that they are. Throws `ConnectError`. */
export function* splitMessages(bytes: Uint8Array): Generator<Uint8Array, void> {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length);
  for (let at = 0; at < bytes.length;) {
    const rest = bytes.length - at;
    const length = rest < headerLength ? rest + 1 : view.getUint32(at + 1) + 1;
    if (length < headerLength || length > rest)
      throw createMalformedError("an answer cut inside a message");
    yield bytes.subarray(at, at + length);
    at += length;
  }
}
