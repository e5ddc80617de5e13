import { ProtocolError } from "./frame.js";
import {
  encodeMessage,
  encodeCString,
  frontendTypes,
  messageHeaderBytes,
  readCString,
} from "./message.js";

/** A decoded message of the extended query protocol. */
export type ExtendedMessage =
  | {
      readonly type: "parse";
      readonly name: string;
      readonly text: string;
      readonly message: Uint8Array;
    }
  | {
      readonly type: "bind";
      readonly portal: string;
      readonly statement: string;
      /** All bytes after the two names: parameter formats, values and result formats. */
      readonly content: Uint8Array;
    }
  | { readonly type: "describeStatement" | "closeStatement"; readonly name: string }
  | {
      readonly type: "describePortal" | "closePortal" | "execute";
      readonly portal: string;
      readonly message: Uint8Array;
    };

const statementTarget = 0x53;
const portalTarget = 0x50;

/** Decodes one message of the extended query protocol. Throws `ProtocolError`. */
export function parseExtended(message: Uint8Array): ExtendedMessage {
  const type = message[0] ?? 0;
  switch (type) {
    case frontendTypes.parse:
      return parseParse(message);
    case frontendTypes.bind:
      return parseBind(message);
    case frontendTypes.execute:
      return { type: "execute", portal: requireCString(message, messageHeaderBytes).text, message };
    case frontendTypes.describe:
      return parseStatementOrPortal(message, "describeStatement", "describePortal");
    case frontendTypes.close:
      return parseStatementOrPortal(message, "closeStatement", "closePortal");
    default:
      throw new ProtocolError(`message type ${type} is not part of an extended query`);
  }
}

/** Builds a `Parse` of the same text for the unnamed statement. */
export function encodeUnnamedParse(message: Uint8Array): Buffer {
  const name = requireCString(message, messageHeaderBytes);
  return encodeMessage(frontendTypes.parse, encodeCString(""), message.subarray(name.end));
}

/** Builds a `Bind` of the unnamed statement to a portal. */
export function encodeUnnamedBind(portal: string, content: Uint8Array): Buffer {
  return encodeMessage(frontendTypes.bind, encodeCString(portal), encodeCString(""), content);
}

/** Builds a `Describe` or `Close` of the unnamed statement. */
export function encodeForUnnamedStatement(type: "describe" | "close"): Buffer {
  return encodeMessage(frontendTypes[type], Buffer.of(statementTarget), encodeCString(""));
}

/** Builds a `Sync`. */
export function encodeSync(): Buffer {
  return encodeMessage(frontendTypes.sync);
}

function parseParse(message: Uint8Array): ExtendedMessage {
  const name = requireCString(message, messageHeaderBytes);
  return { type: "parse", name: name.text, text: requireCString(message, name.end).text, message };
}

function parseBind(message: Uint8Array): ExtendedMessage {
  const portal = requireCString(message, messageHeaderBytes);
  const statement = requireCString(message, portal.end);
  const content = message.subarray(statement.end);
  return { type: "bind", portal: portal.text, statement: statement.text, content };
}

function parseStatementOrPortal(
  message: Uint8Array,
  statementType: "describeStatement" | "closeStatement",
  portalType: "describePortal" | "closePortal",
): ExtendedMessage {
  const { text } = requireCString(message, messageHeaderBytes + 1);
  const target = message[messageHeaderBytes] ?? 0;
  switch (target) {
    case statementTarget:
      return { type: statementType, name: text };
    case portalTarget:
      return { type: portalType, portal: text, message };
    default:
      throw new ProtocolError(`expected a statement or a portal, got type ${target}`);
  }
}

function requireCString(
  message: Uint8Array,
  from: number,
): { readonly text: string; readonly end: number } {
  const found = readCString(message, from);
  if (found === undefined) throw new ProtocolError("string without a terminating zero");
  return found;
}
