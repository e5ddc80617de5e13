import { createHmac, timingSafeEqual } from "node:crypto";
import { formatMark, type Mark, parseMark } from "../model/index.js";

/** The content of a token, by which a session continues at another proxy. */
export interface SessionToken {
  readonly team: string;
  /** By group, what the session's reads must see. */
  readonly marks: ReadonlyMap<string, Mark>;
  /** Whether `marks` has every group that the session has used. */
  readonly isComplete: boolean;
}

/** A secret that signs tokens; all proxies must have the same keys. */
export type TokenKey = Uint8Array;

/**
 * The result of checking a token's format and signature. The team is not checked here: `applyStep`
 * fails for a token of another team, which is then treated like a rejected one.
 */
export type TokenCheck =
  | { readonly type: "verified"; readonly token: SessionToken }
  | { readonly type: "rejected"; readonly reason: "malformed" | "version" | "signature" };

const version = 1;
const signatureLength = 16;
const maxTokenLength = 4096;
const maxGroups = 32;

/**
 * Encodes a token and signs it with the first of `keys`. Marks beyond the limits of 32 groups and 4096
 * characters are left out, the oldest first, and the token is then marked incomplete. Throws
 * `RangeError` without a key.
 */
export function signToken(token: SessionToken, keys: readonly TokenKey[]): string {
  const [key] = keys;
  if (key === undefined) throw new RangeError("a session token needs a key");
  let marks = [...token.marks].slice(-maxGroups);
  for (;;) {
    const text = encodeToken({ ...token, marks: new Map(marks) }, key, token.marks.size);
    if (text.length <= maxTokenLength || marks.length === 0) return text;
    marks = marks.slice(1);
  }
}

/**
 * Decodes a token that one of `keys` has signed. All keys are tried, so that a key can be replaced
 * while tokens signed with the previous one are still in use.
 */
export function verifyToken(text: string, keys: readonly TokenKey[]): TokenCheck {
  if (text.length > maxTokenLength || !/^[\w-]+$/.test(text)) return reject("malformed");
  const bytes = Buffer.from(text, "base64url");
  if (bytes.length <= signatureLength + 1) return reject("malformed");
  if (bytes[0] !== version) return reject("version");
  const body = bytes.subarray(0, -signatureLength);
  const signature = bytes.subarray(-signatureLength);
  const isSigned = keys.some((key) => timingSafeEqual(signBody(body, key), signature));
  return isSigned ? decodeBody(body.subarray(1)) : reject("signature");
}

function encodeToken(token: SessionToken, key: TokenKey, groupCount: number): string {
  const isComplete = token.isComplete && token.marks.size === groupCount;
  const marks = [...token.marks].map(([group, mark]) => [group, formatMark(mark)]);
  const json = JSON.stringify([token.team, isComplete ? 1 : 0, ...marks]);
  const body = Buffer.concat([Buffer.from([version]), Buffer.from(json)]);
  return Buffer.concat([body, signBody(body, key)]).toString("base64url");
}

function signBody(body: Uint8Array, key: TokenKey): Buffer {
  return createHmac("sha256", key).update(body).digest().subarray(0, signatureLength);
}

function decodeBody(body: Buffer): TokenCheck {
  // The signature proves that a proxy wrote the body; these checks only guard against its bugs.
  const value: unknown = JSON.parse(body.toString());
  if (!Array.isArray(value)) return reject("malformed");
  const [team, complete, ...entries] = value as readonly unknown[];
  const marks = new Map<string, Mark>();
  for (const entry of entries) {
    const [group, text] = Array.isArray(entry) ? (entry as readonly unknown[]) : [];
    const mark = typeof text === "string" ? parseMark(text) : undefined;
    if (typeof group !== "string" || mark === undefined) return reject("malformed");
    marks.set(group, mark);
  }
  if (typeof team !== "string") return reject("malformed");
  return { type: "verified", token: { team, marks, isComplete: complete === 1 } };
}

function reject(reason: "malformed" | "version" | "signature"): TokenCheck {
  return { type: "rejected", reason };
}
