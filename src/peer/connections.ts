import type { SecureClientSessionOptions } from "node:http2";
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { Address, Clock, Disposable } from "../model/index.js";
import { Peer } from "./gen/radishwalk/peer/v1/peer_pb.js";
import { PeerSession } from "./session.js";

/** Options of `PeerConnections`. Times are in milliseconds. */
export interface PeerConnectionOptions {
  readonly clock: Pick<Clock, "now">;
  /** TLS options with the client certificate, requested for each new connection; undefined without TLS. */
  readonly getSecureOptions?: () => SecureClientSessionOptions;
  readonly connectMs?: number;
  /** A connection with open streams is pinged when nothing was received for this long. */
  readonly pingIntervalMs?: number;
  /** A connection whose ping is unanswered for this long is destroyed, with all its streams. */
  readonly pingTimeoutMs?: number;
  /** A connection without streams is closed after this long. */
  readonly idleMs?: number;
}

/** The client of one peer, with the session that holds its HTTP/2 connection. */
export interface PeerConnection {
  readonly client: Client<typeof Peer>;
  readonly session: PeerSession;
  lastUsedAt: number;
}

const defaultConnectMs = 1000;
const defaultPingIntervalMs = 400;
const defaultPingTimeoutMs = 400;
const defaultIdleMs = 60_000;

const maxMessageBytes = 64 * 1024 * 1024;

/** Connections to peers by address. Each opens when it is first used, and is kept. */
export class PeerConnections implements Disposable {
  private readonly connections = new Map<string, PeerConnection>();
  private readonly idleMs: number;

  constructor(private readonly options: PeerConnectionOptions) {
    this.idleMs = options.idleMs ?? defaultIdleMs;
  }

  /** Number of addresses with an entry, whether or not its connection is open now. */
  get size(): number {
    return this.connections.size;
  }

  /** Returns the connection to an address. It opens with the first request. */
  get(address: Address): PeerConnection {
    const key = formatAddress(address);
    const now = this.options.clock.now();
    const known = this.connections.get(key);
    if (known !== undefined) {
      known.lastUsedAt = now;
      return known;
    }
    this.deleteUnused(now);
    const connection = this.connect(address, now);
    this.connections.set(key, connection);
    return connection;
  }

  /** Uses a new connection for later calls. Calls in progress on the old one continue. */
  replace(address: Address): void {
    const key = formatAddress(address);
    this.connections.get(key)?.session.closeGracefully();
    this.connections.delete(key);
  }

  /** Uses new connections to all peers for later calls, for example after a certificate change. */
  replaceAll(): void {
    for (const connection of this.connections.values()) connection.session.closeGracefully();
    this.connections.clear();
  }

  dispose(): void {
    for (const connection of this.connections.values()) connection.session.abort();
    this.connections.clear();
  }

  private connect(address: Address, now: number): PeerConnection {
    const { clock, getSecureOptions } = this.options;
    const scheme = getSecureOptions === undefined ? "http" : "https";
    const baseUrl = `${scheme}://${formatAddress(address)}`;
    const session = new PeerSession(baseUrl, {
      clock,
      getSecureOptions,
      connectMs: this.options.connectMs ?? defaultConnectMs,
      pingIntervalMs: this.options.pingIntervalMs ?? defaultPingIntervalMs,
      pingTimeoutMs: this.options.pingTimeoutMs ?? defaultPingTimeoutMs,
      idleMs: this.idleMs,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager: session,
      acceptCompression: [],
      readMaxBytes: maxMessageBytes,
    });
    return { client: createClient(Peer, transport), session, lastUsedAt: now };
  }

  private deleteUnused(now: number): void {
    for (const [key, { lastUsedAt }] of this.connections) {
      if (now - lastUsedAt > 2 * this.idleMs) this.connections.delete(key);
    }
  }
}

function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
