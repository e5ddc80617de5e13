import {
  createSecureServer,
  createServer,
  type Http2Server,
  type SecureServerOptions,
  type ServerHttp2Session,
} from "node:http2";
import type { AddressInfo } from "node:net";
import { checkServerIdentity, type SecureContextOptions, TLSSocket } from "node:tls";
import { peerEvents } from "../log/events/peer.js";
import { type Logger, silentLogger } from "../log/index.js";
import type { Address, Clock, Disposable } from "../model/index.js";
import type { PeerHandlers } from "./handlers.js";
import { createHandler } from "./handler.js";
import { defaultKeepalive, watchPeer, type KeepaliveOptions } from "./keepalive.js";
import { createPeerService } from "./service.js";
import { maxSessionMemory } from "./session.js";

/** What a `PeerServer` is built from. */
export interface PeerServerOptions {
  /** Port 0 takes a free one. */
  readonly address: Address;
  readonly handlers: PeerHandlers;
  readonly clock: Clock;
  readonly logger?: Logger;
  readonly keepalive?: KeepaliveOptions;
  /** Certificates for mutual TLS, and the name that a peer's must carry. Absent where TLS is off. */
  readonly secure?: SecureServerOptions & { readonly peerName: string };
}

const drainStepMs = 20;

/** Serves this process's peers over HTTP/2. */
export class PeerServer implements Disposable {
  private readonly server: Http2Server;
  private readonly sessions = new Set<ServerHttp2Session>();
  private readonly logger: Logger;

  constructor(private readonly options: PeerServerOptions) {
    const { handlers, clock, secure, logger = silentLogger } = options;
    this.logger = logger;
    const handle = createHandler(createPeerService(handlers, clock), logger);
    this.server =
      secure === undefined
        ? createServer({ maxSessionMemory }, handle)
        : createSecureServer({ ...secure, ...mutual, maxSessionMemory }, handle);
    this.server.on("session", (session) => this.keep(session));
    this.server.on("sessionError", () => undefined);
    this.server.on("tlsClientError", (error: Error) =>
      logger.write(peerEvents.peerRejected, { reason: error.message }),
    );
  }

  /** Begins to serve; answers with the port in use. Rejects when it is taken. */
  async listen(): Promise<Address> {
    const { host, port } = this.options.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, resolve);
    });
    const address = { host, port: (this.server.address() as AddressInfo).port };
    this.logger.write(peerEvents.listening, address);
    return address;
  }

  /** Takes new certificates for connections to come. */
  setSecureContext(secure: SecureContextOptions): void {
    if ("setSecureContext" in this.server) {
      (this.server as { setSecureContext(options: SecureContextOptions): void }).setSecureContext(
        secure,
      );
    }
  }

  /** Accepts no more connections and lets streams finish, for at most `ms`. */
  async drain(ms: number): Promise<void> {
    if (this.server.listening) this.server.close();
    for (const session of this.sessions) session.close();
    const { clock } = this.options;
    const endAt = clock.now() + ms;
    while (this.sessions.size > 0 && clock.now() < endAt) await clock.sleep(drainStepMs);
    this.dispose();
  }

  /** Ends everything at once. */
  dispose(): void {
    if (this.server.listening) this.server.close();
    for (const session of this.sessions) session.destroy();
  }

  private keep(session: ServerHttp2Session): void {
    session.on("error", () => undefined);
    const stranger = this.findStranger(session);
    if (stranger !== undefined) {
      this.logger.write(peerEvents.peerRejected, { reason: stranger.message });
      session.destroy();
      return;
    }
    this.sessions.add(session);
    watchPeer(session, this.options.keepalive ?? defaultKeepalive);
    session.on("close", () => this.sessions.delete(session));
  }

  /** The authority may have signed for others than proxies: a peer's certificate carries the name. */
  private findStranger({ socket }: ServerHttp2Session): Error | undefined {
    const { secure } = this.options;
    if (secure === undefined || !(socket instanceof TLSSocket)) return undefined;
    return checkServerIdentity(secure.peerName, socket.getPeerCertificate());
  }
}

const mutual = { requestCert: true, rejectUnauthorized: true } as const;
