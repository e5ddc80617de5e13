import type { Mark } from "../model/index.js";

/** Why a statement failed. `isNotRun` tells which codes guarantee that it did not run. */
export type ErrorCode =
  /** Nothing ran: the target or the proxy has no capacity for the statement. */
  | "busy"
  /** The transaction was rolled back completely. */
  | "aborted"
  /** Nothing ran: the target's log does not hold the required position yet. */
  | "lagging"
  /** Nothing ran: the target is not the primary. */
  | "readOnly"
  /** Nothing ran: the connection reached another target than the intended one. */
  | "wrongTarget"
  /** Nothing ran: the target accepts no more connections. */
  | "tooManyConnections"
  /** Nothing ran: no statement is prepared under this name. */
  | "unknownStatement"
  /** Nothing ran: the database does not exist. */
  | "unknownDatabase"
  | "tooLarge"
  | "malformed"
  | "denied"
  /** The statement ran and failed. */
  | "failed"
  /** It may have run. */
  | "timeout"
  /** It may have run. */
  | "inDoubt";

const errorCodes: Readonly<Record<ErrorCode, true>> = {
  busy: true,
  aborted: true,
  lagging: true,
  readOnly: true,
  wrongTarget: true,
  tooManyConnections: true,
  unknownStatement: true,
  unknownDatabase: true,
  tooLarge: true,
  malformed: true,
  denied: true,
  failed: true,
  timeout: true,
  inDoubt: true,
};

/** Whether a word is one of the error codes. */
export function isErrorCode(word: string): word is ErrorCode {
  return Object.hasOwn(errorCodes, word);
}

/** The transaction state of a session. A `failed` transaction can only be ended. */
export type SessionState = "idle" | "transaction" | "failed";

/** How a statement ended. `signature` is the target's proof that the statement ran there. */
export type ReplyEnd =
  | { readonly type: "complete"; readonly signature: string }
  | { readonly type: "error"; readonly code: ErrorCode; readonly text: string };

/** The complete answer to one statement. */
export interface Reply {
  readonly rows: readonly string[];
  readonly end: ReplyEnd;
  readonly state: SessionState;
  /** The end of the log of the target that answered. */
  readonly mark?: Mark;
}

/** The signature in replies that the proxy gives without a target. */
export const proxySignature = "-";

/** Whether an error code guarantees that the statement did not run, or was rolled back. */
export function isNotRun(code: ErrorCode): boolean {
  switch (code) {
    case "busy":
    case "aborted":
    case "lagging":
    case "readOnly":
    case "wrongTarget":
    case "tooManyConnections":
    case "unknownStatement":
    case "unknownDatabase":
    case "tooLarge":
    case "malformed":
    case "denied":
      return true;
    case "failed":
    case "timeout":
    case "inDoubt":
      return false;
  }
}

/** Creates a successful reply of the proxy itself, without a target. */
export function completeLocally(state: SessionState): Reply {
  return { rows: [], end: { type: "complete", signature: proxySignature }, state };
}

/** Creates an error reply of the proxy itself, without a target or in place of a target's reply. */
export function failLocally(code: ErrorCode, text: string, state: SessionState): Reply {
  return { rows: [], end: { type: "error", code, text }, state };
}
