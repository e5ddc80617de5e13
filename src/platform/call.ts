import { UnsentError, type HttpPool } from "./pool.js";

/** What came of one HTTP call. */
export type HttpCallResult =
  | { readonly type: "answered"; readonly status: number; readonly body: unknown }
  /** No byte of the request can have reached the platform. */
  | { readonly type: "notSent"; readonly reason: string }
  | { readonly type: "lost"; readonly reason: string };

/** One HTTP call to the platform. */
export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly headers?: Readonly<Record<string, string>>;
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

const minErrorStatus = 400;
/** The signal goes first where it works: its reason says more. */
const timerDelayMs = 5;

/** Failures of connecting: the request was not begun. */
const connectFailures: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
]);

/**
 * Makes one call. Never rejects, and ends within its timeout.
 *
 * A pool that heeds a signal only once a connection stands would hang for as long as it tries to
 * connect, and whoever waits for it stands still meanwhile; a timer of its own ends the call. The
 * signal stays, to end what the pool has begun.
 */
export async function sendHttpCall(
  pool: Pick<HttpPool, "request">,
  call: HttpCall,
): Promise<HttpCallResult> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<HttpCallResult>((resolve) => {
    timer = setTimeout(() => {
      resolve({ type: "lost", reason: "no answer in time" });
    }, call.timeoutMs + timerDelayMs);
  });
  const result = await Promise.race([sendOverPool(pool, call), late]);
  clearTimeout(timer);
  return result;
}

async function sendOverPool(
  pool: Pick<HttpPool, "request">,
  call: HttpCall,
): Promise<HttpCallResult> {
  const timeout = AbortSignal.timeout(call.timeoutMs);
  const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal]);
  try {
    const { statusCode, text } = await pool.request({
      method: call.method,
      path: call.path,
      signal,
      ...(call.body === undefined ? {} : { body: call.body }),
      ...(call.headers === undefined ? {} : { headers: call.headers }),
    });
    return { type: "answered", status: statusCode, body: parseBody(text, statusCode) };
  } catch (error) {
    return toFailureResult(error);
  }
}

/** A refusal's body is for people and may be anything; a success without its object is none. */
function parseBody(text: string, status: number): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    if (status >= minErrorStatus) return undefined;
    throw error;
  }
}

function toFailureResult(error: unknown): HttpCallResult {
  const { code, message } = error as { readonly code?: unknown; readonly message?: unknown };
  const isRefused = typeof code === "string" && connectFailures.has(code);
  const isUnsent = error instanceof UnsentError || isRefused;
  return { type: isUnsent ? "notSent" : "lost", reason: String(message ?? error) };
}
