import type { ServerHttp2Session, ServerHttp2Stream } from "node:http2";
import { startStallTolerantTimer } from "./stall-tolerant-timer.js";

/** How served connections are watched. Times in milliseconds. */
export interface KeepaliveOptions {
  /** A connection with open streams that says nothing for so long is asked for a sign of life. */
  readonly intervalMs: number;
  /** One that gives none for so long is ended, with all that is open on it. */
  readonly timeoutMs: number;
}

/**
 * Longer than a peer takes to notice a silent connection by itself, 0.8 s, so that a peer that lives
 * ends it first.
 */
export const defaultKeepalive: KeepaliveOptions = { intervalMs: 1000, timeoutMs: 1000 };

/**
 * Ends a served connection whose peer has gone without a word. The peer gives a silent connection up and
 * opens another; this end would never hear of it, and what was open stayed open: a transaction with its
 * target's connection and slot, for good, and each later drain was held up to its limit and cut it off.
 */
export function startKeepalive(session: ServerHttp2Session, options: KeepaliveOptions): void {
  let streams = 0;
  let isHeard = true;
  let stopWaiting: (() => void) | undefined;
  const hear = () => {
    isHeard = true;
    stopWaiting?.();
    stopWaiting = undefined;
  };
  const ask = () => {
    stopWaiting ??= startStallTolerantTimer(options.timeoutMs, () => session.destroy());
    session.ping((error) => {
      if (error === null) hear();
    });
  };
  const timer = setInterval(() => {
    if (!isHeard && streams > 0 && stopWaiting === undefined) ask();
    isHeard = false;
  }, options.intervalMs).unref();
  session.on("ping", hear);
  session.on("stream", (stream: ServerHttp2Stream) => {
    streams += 1;
    hear();
    stream.on("close", () => (streams -= 1));
  });
  session.on("close", () => {
    clearInterval(timer);
    stopWaiting?.();
  });
}
