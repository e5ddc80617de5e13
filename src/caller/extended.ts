import { ProtocolError } from "./frame.js";
import { encodeMessage, encodeText, frontend, headerLength, readText } from "./message.js";

/** An extended message as the plan of a batch needs it. */
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
      /** Formats and values: all behind the names. */
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

/** Reads one extended message. Throws `ProtocolError`. */
export function parseExtended(message: Uint8Array): ExtendedMessage {
  const type = message[0] ?? 0;
  switch (type) {
    case frontend.parse:
      return parseParse(message);
    case frontend.bind:
      return parseBind(message);
    case frontend.execute:
      return { type: "execute", portal: take(message, headerLength).text, message };
    case frontend.describe:
      return parseNamed(message, "describeStatement", "describePortal");
    case frontend.close:
      return parseNamed(message, "closeStatement", "closePortal");
    default:
      throw new ProtocolError("not a message of an extended query");
  }
}

/** Builds a statement's `Parse` under the unnamed statement. */
export function encodeUnnamedParse(message: Uint8Array): Buffer {
  const name = take(message, headerLength);
  return encodeMessage(frontend.parse, encodeText(""), message.subarray(name.end));
}

/** Builds a `Bind` of the unnamed statement. */
export function encodeUnnamedBind(portal: string, content: Uint8Array): Buffer {
  return encodeMessage(frontend.bind, encodeText(portal), encodeText(""), content);
}

/** Builds `Describe` or `Close` of the unnamed statement. */
export function encodeUnnamed(type: "describe" | "close"): Buffer {
  return encodeMessage(frontend[type], Buffer.of(statementTarget), encodeText(""));
}

/** Builds `Sync`. */
export function encodeSync(): Buffer {
  return encodeMessage(frontend.sync);
}

function parseParse(message: Uint8Array): ExtendedMessage {
  const name = take(message, headerLength);
  return { type: "parse", name: name.text, text: take(message, name.end).text, message };
}

function parseBind(message: Uint8Array): ExtendedMessage {
  const portal = take(message, headerLength);
  const statement = take(message, portal.end);
  const content = message.subarray(statement.end);
  return { type: "bind", portal: portal.text, statement: statement.text, content };
}

function parseNamed(
  message: Uint8Array,
  ofStatement: "describeStatement" | "closeStatement",
  ofPortal: "describePortal" | "closePortal",
): ExtendedMessage {
  const { text } = take(message, headerLength + 1);
  const target = message[headerLength] ?? 0;
  switch (target) {
    case statementTarget:
      return { type: ofStatement, name: text };
    case portalTarget:
      return { type: ofPortal, portal: text, message };
    default:
      throw new ProtocolError("neither a statement nor a portal");
  }
}

function take(message: Uint8Array, from: number): { readonly text: string; readonly end: number } {
  const found = readText(message, from);
  if (found === undefined) throw new ProtocolError("text without an end");
  return found;
}
