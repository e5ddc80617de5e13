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
import { startStallTolerantTimer } from "../system/index.js";

/** Options of a `PeerSession`; see `PeerConnectionOptions`. Times are in milliseconds. */
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
  readonly opened: Promise<void>;
  /** When the last response data or ping acknowledgement was received. */
  lastReceivedAt: number;
  streams: number;
  lastUsedAt: number;
  /** Set while a ping is unanswered: cancels the timer that destroys the connection. */
  cancelTimeout?: () => void;
  /** Shared by all requests that wait for the same ping. */
  pendingPing?: Promise<void>;
}

/** In megabytes, for all streams of one connection. Node's default of 10 is meant for browsers. */
export const maxSessionMemory = 256;

const maxStreams = 100_000;

/**
 * Opens the HTTP/2 connection to one peer on demand and replaces it when it fails. A connection can
 * stop responding permanently while new ones work, and a request on it would hang until its caller's
 * timeout. A connection on which nothing was received for `pingIntervalMs` is therefore pinged,
 * before a request and while one is in progress; if the ping is unanswered for `pingTimeoutMs`, all
 * requests on the connection fail.
 *
 * connect-node's own session manager does the same, but removes its error listener before the
 * connection has reported its end, and the process then exits with an unhandled error.
 */
export class PeerSession {
  private current: Connection | undefined;

  constructor(
    readonly authority: string,
    private readonly options: PeerSessionOptions,
  ) {}

  /** Whether there is a connection that responded recently or responds to a ping now. */
  async isAlive(): Promise<boolean> {
    const { current } = this;
    return current !== undefined && isUsable(current) && (await this.verify(current));
  }

  /** Opens a stream. Rejects with `ConnectError` when no connection opens within `connectMs`. */
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
    this.trackStream(connection, stream);
    return stream;
  }

  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    const { current } = this;
    if (current !== undefined && current.http === stream.session) this.recordActivity(current);
  }

  /** Destroys the connection and all its streams. */
  abort(): void {
    const connection = this.current;
    this.current = undefined;
    connection?.http.destroy();
  }

  /** Closes the connection when its streams have finished; the next `request` opens another. */
  closeGracefully(): void {
    const connection = this.current;
    this.current = undefined;
    // A connection that is still opening may hang for minutes, and so would all requests that wait for it.
    if (connection?.http.connecting === true) connection.http.destroy();
    else connection?.http.close();
  }

  private async connect(): Promise<Connection> {
    const known = this.current;
    if (known !== undefined && isUsable(known)) {
      await known.opened;
      if (await this.verify(known)) return known;
    }
    // Another request may have opened a connection in the meantime.
    if (this.current === undefined || !isUsable(this.current)) this.current = this.open();
    const { current } = this;
    await current.opened;
    return current;
  }

  private open(): Connection {
    const { clock, getSecureOptions } = this.options;
    const secure = getSecureOptions?.();
    const limits = { maxSessionMemory, peerMaxConcurrentStreams: maxStreams };
    const http = connect(this.authority, { ...secure, ...limits });
    const now = clock.now();
    const opened = this.waitForOpen(http);
    // Avoids an unhandled rejection; each request that waits for `opened` handles the failure itself.
    opened.catch(() => undefined);
    const connection: Connection = {
      http,
      opened,
      lastReceivedAt: now,
      lastUsedAt: now,
      streams: 0,
    };
    const timer = setInterval(
      () => this.checkConnection(connection),
      this.options.pingIntervalMs / 2,
    );
    timer.unref();
    http.on("close", () => {
      clearInterval(timer);
      connection.cancelTimeout?.();
    });
    return connection;
  }

  private waitForOpen(http: ClientHttp2Session): Promise<void> {
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => reject(new ConnectError(reason, Code.Unavailable));
      const stopTimer = startStallTolerantTimer(this.options.connectMs, () => {
        fail(`the connection did not open within ${this.options.connectMs} ms`);
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

  private trackStream(connection: Connection, stream: ClientHttp2Stream): void {
    const { http } = connection;
    connection.streams += 1;
    http.ref();
    stream.on("response", () => this.recordActivity(connection));
    stream.on("close", () => {
      connection.streams -= 1;
      connection.lastUsedAt = this.options.clock.now();
      if (connection.streams === 0) http.unref();
    });
  }

  private recordActivity(connection: Connection): void {
    connection.lastReceivedAt = this.options.clock.now();
    connection.cancelTimeout?.();
    delete connection.cancelTimeout;
  }

  /** Pings a connection that has not responded recently, and returns whether it is usable. */
  private async verify(connection: Connection): Promise<boolean> {
    const { clock, pingIntervalMs } = this.options;
    if (clock.now() - connection.lastReceivedAt < pingIntervalMs) return isUsable(connection);
    connection.pendingPing ??= this.waitForPing(connection);
    await connection.pendingPing;
    return isUsable(connection);
  }

  /** Sends one ping with one listener for all waiting requests; one for each would add dozens of listeners. */
  private async waitForPing(connection: Connection): Promise<void> {
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
      delete connection.pendingPing;
    }
  }

  private checkConnection(connection: Connection): void {
    const { clock, pingIntervalMs, idleMs } = this.options;
    const now = clock.now();
    const { streams, lastUsedAt, lastReceivedAt, http } = connection;
    if (streams === 0 && now - lastUsedAt > idleMs) http.close();
    if (streams > 0 && now - lastReceivedAt >= pingIntervalMs)
      this.ping(connection, () => undefined);
  }

  private ping(connection: Connection, onPong: () => void): void {
    const { http } = connection;
    connection.cancelTimeout ??= startStallTolerantTimer(this.options.pingTimeoutMs, () =>
      http.destroy(
        new ConnectError(
          `the peer did not respond within ${this.options.pingTimeoutMs} ms`,
          Code.Unavailable,
        ),
        cancelCode,
      ),
    );
    http.ping((error) => {
      if (error !== null) return;
      this.recordActivity(connection);
      onPong();
    });
  }
}

const cancelCode = constants.NGHTTP2_CANCEL;

function isUsable({ http }: Connection): boolean {
  return !http.closed && !http.destroyed;
}
