import type { ServerHttp2Session, ServerHttp2Stream } from "node:http2";
import { startStallTolerantTimer } from "../system/index.js";

/** When served connections are pinged and closed. Times are in milliseconds. */
export interface KeepaliveOptions {
  /** A connection with open streams is pinged when nothing was received for this long. */
  readonly intervalMs: number;
  /** A connection whose ping is unanswered for this long is destroyed, with all its streams. */
  readonly timeoutMs: number;
}

/**
 * Longer than the 0.8 s that a peer takes to detect an unresponsive connection, so that a live peer
 * closes it first.
 */
export const defaultKeepalive: KeepaliveOptions = { intervalMs: 1000, timeoutMs: 1000 };

/**
 * Destroys a served connection that no longer responds. The peer abandons such a connection and opens
 * another, but this side is not notified. Without this check, an open transaction would keep its
 * target's connection and slot permanently, and each later drain would wait for it until its limit and
 * then abort it.
 */
export function startKeepalive(session: ServerHttp2Session, options: KeepaliveOptions): void {
  let openStreams = 0;
  let hasReceived = true;
  let cancelTimeout: (() => void) | undefined;
  const recordActivity = () => {
    hasReceived = true;
    cancelTimeout?.();
    cancelTimeout = undefined;
  };
  const sendPing = () => {
    cancelTimeout ??= startStallTolerantTimer(options.timeoutMs, () => session.destroy());
    session.ping((error) => {
      if (error === null) recordActivity();
    });
  };
  const timer = setInterval(() => {
    if (!hasReceived && openStreams > 0 && cancelTimeout === undefined) sendPing();
    hasReceived = false;
  }, options.intervalMs).unref();
  session.on("ping", recordActivity);
  session.on("stream", (stream: ServerHttp2Stream) => {
    openStreams += 1;
    recordActivity();
    stream.on("close", () => (openStreams -= 1));
  });
  session.on("close", () => {
    clearInterval(timer);
    cancelTimeout?.();
  });
}
