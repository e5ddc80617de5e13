import { UnsentError, type CallPool } from "./pool.js";

/** What came of one HTTP call. */
export type CallResult =
  | { readonly type: "answered"; readonly status: number; readonly body: unknown }
  /** No byte of the request can have reached the platform. */
  | { readonly type: "notSent"; readonly reason: string }
  | { readonly type: "lost"; readonly reason: string };

/** One HTTP call to the platform. */
export interface Call {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly headers?: Readonly<Record<string, string>>;
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

const firstErrorStatus = 400;
/** The signal goes first where it works: its reason says more. */
const signalMarginMs = 5;

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
export async function sendCall(pool: Pick<CallPool, "request">, call: Call): Promise<CallResult> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<CallResult>((resolve) => {
    timer = setTimeout(() => {
      resolve({ type: "lost", reason: "no answer in time" });
    }, call.timeoutMs + signalMarginMs);
  });
  const result = await Promise.race([sendOverPool(pool, call), late]);
  clearTimeout(timer);
  return result;
}

async function sendOverPool(pool: Pick<CallPool, "request">, call: Call): Promise<CallResult> {
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
    return describeFailure(error);
  }
}

/** A refusal's body is for people and may be anything; a success without its object is none. */
function parseBody(text: string, status: number): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    if (status >= firstErrorStatus) return undefined;
    throw error;
  }
}

function describeFailure(error: unknown): CallResult {
  const { code, message } = error as { readonly code?: unknown; readonly message?: unknown };
  const isRefused = typeof code === "string" && connectFailures.has(code);
  const isUnsent = error instanceof UnsentError || isRefused;
  return { type: isUnsent ? "notSent" : "lost", reason: String(message ?? error) };
}
