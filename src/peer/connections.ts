import type { SecureClientSessionOptions } from "node:http2";
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { Address, Clock, Disposable } from "../model/index.js";
import { Peer } from "./gen/radishwalk/peer/v1/peer_pb.js";
import { PeerSession } from "./session.js";

/** How connections to peers are kept. Times in milliseconds. */
export interface PeerConnectionOptions {
  readonly clock: Pick<Clock, "now">;
  /** Certificates for mutual TLS, read anew for each connection; absent where TLS is off. */
  readonly getSecureOptions?: () => SecureClientSessionOptions;
  readonly connectMs?: number;
  /** A connection in use that says nothing for so long is asked for a sign of life. */
  readonly pingIntervalMs?: number;
  /** A connection that gives none for so long is dropped with all that is under way on it. */
  readonly pingTimeoutMs?: number;
  /** A connection that nobody uses is closed after so long. */
  readonly idleMs?: number;
}

/** The connection to one peer. */
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
/** Connections to peers by address, opened when first used and kept. */
export class PeerConnections implements Disposable {
  private readonly links = new Map<string, PeerConnection>();
  private readonly idleMs: number;

  constructor(private readonly options: PeerConnectionOptions) {
    this.idleMs = options.idleMs ?? defaultIdleMs;
  }

  /** Addresses with a connection or the memory of one. */
  get size(): number {
    return this.links.size;
  }

  /** The connection to an address, which opens with its first use. */
  get(address: Address): PeerConnection {
    const key = formatAddress(address);
    const now = this.options.clock.now();
    const known = this.links.get(key);
    if (known !== undefined) {
      known.lastUsedAt = now;
      return known;
    }
    this.dropUnused(now);
    const link = this.connect(address, now);
    this.links.set(key, link);
    return link;
  }

  /** Takes a new connection from now on. What is under way on the old one goes on. */
  replace(address: Address): void {
    const key = formatAddress(address);
    this.links.get(key)?.session.closeGracefully();
    this.links.delete(key);
  }

  /** Takes new connections to all peers from now on, such as with a new certificate. */
  replaceAll(): void {
    for (const link of this.links.values()) link.session.closeGracefully();
    this.links.clear();
  }

  dispose(): void {
    for (const link of this.links.values()) link.session.abort();
    this.links.clear();
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

  private dropUnused(now: number): void {
    for (const [key, { lastUsedAt }] of this.links) {
      if (now - lastUsedAt > 2 * this.idleMs) this.links.delete(key);
    }
  }
}

function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
