import { Writer } from "pg-protocol/dist/buffer-writer.js";
import type { Field } from "./sql/index.js";
import { formatValue, type Row } from "./value.js";

const writer = new Writer();

/** Encodes `AuthenticationOk`. */
export function encodeAuthenticationOk(): Buffer {
  return writer.addInt32(0).flush(0x52);
}

/** Encodes `ParameterStatus`. */
export function encodeParameterStatus(name: string, value: string): Buffer {
  return writer.addCString(name).addCString(value).flush(0x53);
}

/** Encodes `BackendKeyData`. */
export function encodeKeyData(processId: number): Buffer {
  return writer.addInt32(processId).addInt32(0).flush(0x4b);
}

/** Encodes `ReadyForQuery` with the transaction's status. */
export function encodeReady(status: "I" | "T" | "E"): Buffer {
  return writer.addString(status).flush(0x5a);
}

/** Encodes `RowDescription`; every field is in text format. */
export function encodeRowDescription(fields: readonly Field[]): Buffer {
  writer.addInt16(fields.length);
  for (const { name, type } of fields) {
    writer.addCString(name).addInt32(0).addInt16(0).addInt32(type.oid);
    writer.addInt16(-1).addInt32(-1).addInt16(0);
  }
  return writer.flush(0x54);
}

/** Encodes `DataRow` in text format. */
export function encodeDataRow(row: Row): Buffer {
  writer.addInt16(row.length);
  for (const value of row) {
    if (value === null) writer.addInt32(-1);
    else writer.addInt32PrefixedString(formatValue(value));
  }
  return writer.flush(0x44);
}

/** Encodes `CommandComplete`. */
export function encodeComplete(tag: string): Buffer {
  return writer.addCString(tag).flush(0x43);
}

/** Encodes `ParameterDescription`. */
export function encodeParameters(oids: readonly number[]): Buffer {
  writer.addInt16(oids.length);
  for (const oid of oids) writer.addInt32(oid);
  return writer.flush(0x74);
}

/** Encodes `ErrorResponse`. */
export function encodeError(severity: "ERROR" | "FATAL", state: string, message: string): Buffer {
  for (const [code, text] of Object.entries({ S: severity, V: severity, C: state, M: message })) {
    writer.addString(code).addCString(text);
  }
  return writer.addCString("").flush(0x45);
}

const emptyMessageCodes = {
  parseComplete: 0x31,
  bindComplete: 0x32,
  closeComplete: 0x33,
  emptyQuery: 0x49,
  noData: 0x6e,
  portalSuspended: 0x73,
} as const;

/** Encodes a message without a body. */
export function encodeEmptyMessage(name: keyof typeof emptyMessageCodes): Buffer {
  return writer.flush(emptyMessageCodes[name]);
}
