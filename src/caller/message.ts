/** Type bytes of messages that a caller sends. */
export const frontendTypes = {
  query: 0x51,
  parse: 0x50,
  bind: 0x42,
  execute: 0x45,
  functionCall: 0x46,
  flush: 0x48,
  close: 0x43,
  describe: 0x44,
  copyData: 0x64,
  copyDone: 0x63,
  copyFail: 0x66,
  password: 0x70,
  sync: 0x53,
  terminate: 0x58,
} as const;

/** Type bytes of messages that a caller receives. */
export const backendTypes = {
  authentication: 0x52,
  backendKeyData: 0x4b,
  bindComplete: 0x32,
  closeComplete: 0x33,
  commandComplete: 0x43,
  copyInResponse: 0x47,
  dataRow: 0x44,
  emptyQueryResponse: 0x49,
  errorResponse: 0x45,
  noData: 0x6e,
  noticeResponse: 0x4e,
  notificationResponse: 0x41,
  parameterDescription: 0x74,
  parameterStatus: 0x53,
  parseComplete: 0x31,
  portalSuspended: 0x73,
  readyForQuery: 0x5a,
  rowDescription: 0x54,
} as const;

/** Bytes of a message's type and length, which precede its content. */
export const messageHeaderBytes = 5;

const terminator = Buffer.of(0);

/** Builds a message with its header. */
export function encodeMessage(type: number, ...parts: readonly Uint8Array[]): Buffer {
  const header = Buffer.alloc(messageHeaderBytes);
  const length = parts.reduce((sum, part) => sum + part.length, 4);
  header.writeUInt8(type, 0);
  header.writeUInt32BE(length, 1);
  return Buffer.concat([header, ...parts]);
}

/** Encodes a zero-terminated string; zero bytes within it are removed. */
export function encodeCString(text: string): Buffer {
  return Buffer.concat([Buffer.from(text.replaceAll("\0", "")), terminator]);
}

/** Encodes a big-endian 32-bit integer. */
export function encodeInt32(value: number): Buffer {
  const bytes = Buffer.alloc(4);
  bytes.writeInt32BE(value | 0);
  return bytes;
}

/** Builds a `ParameterStatus`. */
export function encodeParameterStatus(name: string, value: string): Buffer {
  return encodeMessage(backendTypes.parameterStatus, encodeCString(name), encodeCString(value));
}

/** Builds a `ReadyForQuery`. */
export function encodeReadyForQuery(status: "I" | "T" | "E"): Buffer {
  return encodeMessage(backendTypes.readyForQuery, Buffer.from(status));
}

/** Builds a `CommandComplete`. */
export function encodeCommandComplete(tag: string): Buffer {
  return encodeMessage(backendTypes.commandComplete, encodeCString(tag));
}

/** Whether a message is as long as its header states. */
export function hasStatedLength(message: Uint8Array): boolean {
  return message.length >= messageHeaderBytes && readLength(message) + 1 === message.length;
}

/**
 * Reads the zero-terminated string at offset `from`. `end` is the offset after its terminator.
 * `undefined` if there is no terminator.
 */
export function readCString(
  message: Uint8Array,
  from: number,
): { readonly text: string; readonly end: number } | undefined {
  const end = message.indexOf(0, from);
  if (end < 0) return undefined;
  return { text: Buffer.from(message.subarray(from, end)).toString(), end: end + 1 };
}

function readLength(message: Uint8Array): number {
  return Buffer.from(message.buffer, message.byteOffset, message.length).readUInt32BE(1);
}
