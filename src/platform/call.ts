import { startStallTolerantTimer } from "../system/index.js";
import { UnsentError, type HttpPool } from "./pool.js";

/** The outcome of one HTTP request. */
export type HttpCallResult =
  | { readonly type: "answered"; readonly status: number; readonly body: unknown }
  /** No byte of the request reached the platform. */
  | { readonly type: "notSent"; readonly reason: string }
  /** No complete answer arrived; the platform may have executed the request. */
  | { readonly type: "lost"; readonly reason: string };

/** One HTTP request to the platform, with its timeout. */
export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly headers?: Readonly<Record<string, string>>;
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /** Whether the request is still valid; asked right before its first byte is sent. By default it is. */
  readonly canSend?: () => boolean;
}

const minErrorStatus = 400;
/** How long an aborted request may take to settle, in milliseconds. */
const abortGraceMs = 5;

/**
 * Sends one request. Never rejects, and resolves within its timeout plus 5 ms.
 *
 * A separate timer ends the wait: a pool that observes the abort signal only after it has connected
 * would block the caller for as long as it tries to connect. The signal is passed on as well, so that the
 * pool aborts a request that it has started.
 */
export async function sendHttpCall(
  pool: Pick<HttpPool, "request">,
  call: HttpCall,
): Promise<HttpCallResult> {
  const timeout = new AbortController();
  let stopTimer: () => void = () => undefined;
  const timedOut = new Promise<HttpCallResult>((resolve) => {
    stopTimer = startStallTolerantTimer(call.timeoutMs, () => {
      timeout.abort(new Error("no answer in time"));
      // Lets the result of the aborted request settle first, which tells whether anything was sent.
      setTimeout(() => resolve({ type: "lost", reason: "no answer in time" }), abortGraceMs);
    });
  });
  const result = await Promise.race([sendOverPool(pool, call, timeout.signal), timedOut]);
  stopTimer();
  return result;
}

async function sendOverPool(
  pool: Pick<HttpPool, "request">,
  call: HttpCall,
  timeout: AbortSignal,
): Promise<HttpCallResult> {
  const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal]);
  try {
    const { statusCode, text } = await pool.request({
      method: call.method,
      path: call.path,
      signal,
      ...(call.body === undefined ? {} : { body: call.body }),
      ...(call.headers === undefined ? {} : { headers: call.headers }),
      ...(call.canSend === undefined ? {} : { canSend: call.canSend }),
    });
    return { type: "answered", status: statusCode, body: parseBody(text, statusCode) };
  } catch (error) {
    return toFailureResult(error);
  }
}

/**
 * Parses a body as JSON. The body of an error status is a text for people and need not parse; a successful
 * answer that does not parse is an error.
 */
function parseBody(text: string, status: number): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    if (status >= minErrorStatus) return undefined;
    throw error;
  }
}

function toFailureResult(error: unknown): HttpCallResult {
  const { message } = error as { readonly message?: unknown };
  const type = error instanceof UnsentError ? "notSent" : "lost";
  return { type, reason: String(message ?? error) };
}
