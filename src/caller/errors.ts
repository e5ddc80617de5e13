import { findSqlState, mayHaveRunSqlState, type Verdict } from "../model/index.js";
import { backendTypes, encodeMessage, encodeCString } from "./message.js";

/** The fields of an `ErrorResponse` to a caller. */
export interface CallerError {
  readonly severity: "ERROR" | "FATAL";
  readonly code: string;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/** SQLSTATEs of errors that this folder raises itself. */
export const sqlStates = {
  adminShutdown: "57P01",
  duplicateStatement: "42P05",
  failedTransaction: "25P02",
  featureNotSupported: "0A000",
  idleInTransaction: "25P03",
  idleSession: "57P05",
  internalError: "XX000",
  invalidAuthorization: "28000",
  invalidParameter: "22023",
  invalidStatementName: "26000",
  outOfMemory: "53200",
  protocolViolation: "08P01",
  queryCancelled: "57014",
  tooManyConnections: "53300",
  undefinedDatabase: "3D000",
} as const;

/** The request ran but its answer was lost. Drivers don't retry after this code. */
const ranSqlState = "58000";

/** Builds `ErrorResponse`. */
export function encodeError(error: CallerError): Buffer {
  const fields = [
    encodeField("S", error.severity),
    encodeField("V", error.severity),
    encodeField("C", error.code),
    encodeField("M", error.message),
  ];
  if (error.detail !== undefined) fields.push(encodeField("D", error.detail));
  if (error.hint !== undefined) fields.push(encodeField("H", error.hint));
  return encodeMessage(backendTypes.errorResponse, ...fields, Buffer.of(0));
}

/** Creates the error that tells the caller whether its request may have run and when to retry. */
export function createVerdictError(verdict: Verdict, message: string): CallerError {
  switch (verdict.type) {
    case "notRun":
      return {
        severity: "ERROR",
        code: findSqlState(verdict.reason),
        message,
        detail: `verdict: notRun; reason: ${verdict.reason}`,
        hint: `retry after ${verdict.retryAfterMs} ms`,
      };
    case "mayHaveRun":
      return {
        severity: "ERROR",
        code: mayHaveRunSqlState,
        message,
        detail: `verdict: mayHaveRun; reason: ${verdict.reason}`,
      };
    case "ran":
      return { severity: "ERROR", code: ranSqlState, message, detail: "verdict: ran" };
  }
}

function encodeField(name: string, value: string): Buffer {
  return Buffer.concat([Buffer.from(name), encodeCString(value)]);
}
