import { createHmac, timingSafeEqual } from "node:crypto";
import { formatMark, type Mark, parseMark } from "../model/index.js";

/** What a session takes along when it moves to another proxy. */
export interface SessionToken {
  readonly team: string;
  /** By group, what the session must see there. */
  readonly marks: ReadonlyMap<string, Mark>;
  /** Whether every group that the session has used is listed. */
  readonly isComplete: boolean;
}

/** A secret that signs tokens, the same on every proxy of the fleet. */
export type TokenKey = Uint8Array;

/** Outcome of checking a token. A token of another team counts as unknown to the caller. */
export type TokenCheck =
  | { readonly type: "verified"; readonly token: SessionToken }
  | { readonly type: "rejected"; readonly reason: "malformed" | "version" | "signature" };

const version = 1;
const signatureLength = 16;
const maxTokenLength = 4096;
const maxGroups = 32;

/** Signs a token with the first of `keys`. Marks beyond the bound are left out and said to be. */
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

/** Checks a token against every key, so that keys can be changed while old tokens are about. */
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
  // The signature shows that a proxy wrote this; the checks below only mind its own mistakes.
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
