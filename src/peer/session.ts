import {
  type ClientHttp2Session,
  type ClientHttp2Stream,
  connect,
  constants,
  type OutgoingHttpHeaders,
  type SecureClientSessionOptions,
} from "node:http2";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Clock } from "../model/index.js";
import { startStallTolerantTimer } from "./stall-tolerant-timer.js";

/** How one peer's connection is kept. Times in milliseconds. */
export interface PeerSessionOptions {
  readonly clock: Pick<Clock, "now">;
  readonly getSecureOptions?: (() => SecureClientSessionOptions) | undefined;
  readonly connectMs: number;
  readonly pingIntervalMs: number;
  readonly pingTimeoutMs: number;
  readonly idleMs: number;
}

interface Connection {
  readonly http: ClientHttp2Session;
  readonly isOpen: Promise<void>;
  /** When the peer last gave a sign of life. */
  heardAt: number;
  streams: number;
  usedAt: number;
  /** Set while a sign of life is asked for: stops the timer that ends the connection. */
  stopWaiting?: () => void;
  /** Shared by all that wait for a sign of life. */
  verifying?: Promise<void>;
}

/** In megabytes, for all streams of one connection; Node's own 10 is meant for browsers. */
export const maxSessionMemory = 256;

const maxStreams = 100_000;

/**
 * Opens the HTTP/2 connection to one peer when it is needed and replaces it when it breaks. A
 * connection can go silent for good while new ones work: a request on one would be stuck until its
 * caller gives up. So one that said nothing for `pingIntervalMs` is asked for a sign of life, before
 * a request and while one is under way; without it in `pingTimeoutMs` all on it fails.
 *
 * connect-node's own manager does the same, but takes its error listener off before the connection
 * has reported its end, and the process then dies of an unhandled error.
 */
export class PeerSession {
  private current: Connection | undefined;

  constructor(
    readonly authority: string,
    private readonly options: PeerSessionOptions,
  ) {}

  /** Whether there is a connection that gives a sign of life, now or just before. */
  async isAlive(): Promise<boolean> {
    const { current } = this;
    return current !== undefined && isUsable(current) && (await this.verify(current));
  }

  /** Opens a stream. Rejects with `ConnectError` when no connection could be had in time. */
  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: object,
  ): Promise<ClientHttp2Stream> {
    const connection = await this.connect();
    const stream = connection.http.request(
      { ...headers, ":method": method, ":path": path },
      options,
    );
    this.keep(connection, stream);
    return stream;
  }

  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    const { current } = this;
    if (current !== undefined && current.http === stream.session) this.hear(current);
  }

  /** Ends the connection with all that is under way on it. */
  abort(): void {
    const connection = this.current;
    this.current = undefined;
    connection?.http.destroy();
  }

  /** Closes the connection once what is under way has finished; `request` opens another. */
  closeGracefully(): void {
    const connection = this.current;
    this.current = undefined;
    // One that is still being opened may hang for minutes, and all that waits for it as long.
    if (connection?.http.connecting === true) connection.http.destroy();
    else connection?.http.close();
  }

  private async connect(): Promise<Connection> {
    const known = this.current;
    if (known !== undefined && isUsable(known)) {
      await known.isOpen;
      if (await this.verify(known)) return known;
    }
    // Somebody else may have opened another meanwhile.
    if (this.current === undefined || !isUsable(this.current)) this.current = this.open();
    const { current } = this;
    await current.isOpen;
    return current;
  }

  private open(): Connection {
    const { clock, getSecureOptions } = this.options;
    const secure = getSecureOptions?.();
    const limits = { maxSessionMemory, peerMaxConcurrentStreams: maxStreams };
    const http = connect(this.authority, { ...secure, ...limits });
    const now = clock.now();
    const isOpen = this.waitForOpen(http);
    // Each request that waits for it hears of the failure by itself.
    isOpen.catch(() => undefined);
    const connection: Connection = { http, isOpen, heardAt: now, usedAt: now, streams: 0 };
    const timer = setInterval(() => this.watch(connection), this.options.pingIntervalMs / 2);
    timer.unref();
    http.on("close", () => {
      clearInterval(timer);
      connection.stopWaiting?.();
    });
    return connection;
  }

  private waitForOpen(http: ClientHttp2Session): Promise<void> {
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => reject(new ConnectError(reason, Code.Unavailable));
      const stopTimer = startStallTolerantTimer(this.options.connectMs, () => {
        fail("the connection did not open in time");
        http.destroy();
      });
      http.on("connect", () => {
        stopTimer();
        http.unref();
        resolve();
      });
      http.on("error", (error: Error) => fail(error.message));
      http.on("close", () => {
        stopTimer();
        fail("the connection was closed");
      });
    });
  }

  private keep(connection: Connection, stream: ClientHttp2Stream): void {
    const { http } = connection;
    connection.streams += 1;
    http.ref();
    stream.on("response", () => this.hear(connection));
    stream.on("close", () => {
      connection.streams -= 1;
      connection.usedAt = this.options.clock.now();
      if (connection.streams === 0) http.unref();
    });
  }

  private hear(connection: Connection): void {
    connection.heardAt = this.options.clock.now();
    connection.stopWaiting?.();
    delete connection.stopWaiting;
  }

  /** Whether a connection that was silent for a while is alive. */
  private async verify(connection: Connection): Promise<boolean> {
    const { clock, pingIntervalMs } = this.options;
    if (clock.now() - connection.heardAt < pingIntervalMs) return isUsable(connection);
    connection.verifying ??= this.waitForSign(connection);
    await connection.verifying;
    return isUsable(connection);
  }

  /** One ping and one listener for all requests at once: each its own would pile up by the dozen. */
  private async waitForSign(connection: Connection): Promise<void> {
    const { http } = connection;
    try {
      await new Promise<void>((resolve) => {
        const finish = (): void => {
          http.off("close", finish);
          resolve();
        };
        http.once("close", finish);
        this.ping(connection, finish);
      });
    } finally {
      delete connection.verifying;
    }
  }

  private watch(connection: Connection): void {
    const { clock, pingIntervalMs, idleMs } = this.options;
    const now = clock.now();
    const { streams, usedAt, heardAt, http } = connection;
    if (streams === 0 && now - usedAt > idleMs) http.close();
    if (streams > 0 && now - heardAt >= pingIntervalMs) this.ping(connection, () => undefined);
  }

  private ping(connection: Connection, onHeard: () => void): void {
    const { http } = connection;
    connection.stopWaiting ??= startStallTolerantTimer(this.options.pingTimeoutMs, () =>
      http.destroy(new ConnectError("the peer is silent", Code.Unavailable), cancelled),
    );
    http.ping((error) => {
      if (error !== null) return;
      this.hear(connection);
      onHeard();
    });
  }
}

const cancelled = constants.NGHTTP2_CANCEL;

function isUsable({ http }: Connection): boolean {
  return !http.closed && !http.destroyed;
}
