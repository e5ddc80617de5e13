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
}

const minErrorStatus = 400;
/** Lets the abort signal fire before the timer, because its reason is more specific. */
const timerDelayMs = 5;

/** Node.js error codes of a failed connection attempt, after which nothing was sent. */
const connectFailures: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
]);

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
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<HttpCallResult>((resolve) => {
    timer = setTimeout(() => {
      resolve({ type: "lost", reason: "no answer in time" });
    }, call.timeoutMs + timerDelayMs);
  });
  const result = await Promise.race([sendOverPool(pool, call), timedOut]);
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
  const { code, message } = error as { readonly code?: unknown; readonly message?: unknown };
  const hasConnectFailed = typeof code === "string" && connectFailures.has(code);
  const isUnsent = error instanceof UnsentError || hasConnectFailed;
  return { type: isUnsent ? "notSent" : "lost", reason: String(message ?? error) };
}
