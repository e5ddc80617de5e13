import type { Mark } from "../model/index.js";

/** Why a statement failed. See `isNotRun` for what each promises. */
export type ErrorCode =
  /** Nothing ran: the target or the proxy has no capacity for it now. */
  | "busy"
  /** The transaction was rolled back; nothing of it is kept. */
  | "aborted"
  /** Nothing ran: the target's log does not yet hold the position asked for. */
  | "lagging"
  /** Nothing ran: the target is not primary. */
  | "readOnly"
  /** Nothing ran: the connection reached another target than the one meant. */
  | "wrongTarget"
  /** Nothing ran: the target accepts no more connections. */
  | "tooManyConnections"
  /** Nothing ran: no statement was prepared under this name. */
  | "unknownStatement"
  /** Nothing ran: no such database. */
  | "unknownDatabase"
  | "tooLarge"
  | "malformed"
  | "denied"
  /** It ran and failed. */
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

/** Idle, in a transaction, or in one that failed and can only be ended. */
export type SessionState = "idle" | "transaction" | "failed";

/** How a statement ended. `signature` is the target's proof that it ran there. */
export type ReplyEnd =
  | { readonly type: "complete"; readonly signature: string }
  | { readonly type: "error"; readonly code: ErrorCode; readonly text: string };

/** The whole answer to one statement. */
export interface Reply {
  readonly rows: readonly string[];
  readonly end: ReplyEnd;
  readonly state: SessionState;
  /** Where the log of the target that answered ends. */
  readonly mark?: Mark;
}

/** The signature of what the proxy answers itself. */
export const proxySignature = "-";

/** Whether a target's error says that this statement did not run there. */
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

/** An answer that the proxy gives without a target. */
export function completeLocally(state: SessionState): Reply {
  return { rows: [], end: { type: "complete", signature: proxySignature }, state };
}

/** An error that the proxy gives without a target, or in place of a target's. */
export function failLocally(code: ErrorCode, text: string, state: SessionState): Reply {
  return { rows: [], end: { type: "error", code, text }, state };
}
