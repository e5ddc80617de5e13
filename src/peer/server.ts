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
import { createRequestHandler } from "./request-handler.js";
import { defaultKeepalive, startKeepalive, type KeepaliveOptions } from "./keepalive.js";
import { createPeerService } from "./service.js";
import { maxSessionMemory } from "./session.js";

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  /** Port 0 selects a free port. */
  readonly address: Address;
  readonly handlers: PeerHandlers;
  readonly clock: Clock;
  readonly logger?: Logger;
  readonly keepalive?: KeepaliveOptions;
  /** TLS options, and the name that a peer's certificate must have. Undefined without TLS. */
  readonly secure?: SecureServerOptions & { readonly peerName: string };
}

const drainPollMs = 20;

/** Serves this process's peers over HTTP/2. */
export class PeerServer implements Disposable {
  private readonly server: Http2Server;
  private readonly sessions = new Set<ServerHttp2Session>();
  private readonly logger: Logger;

  constructor(private readonly options: PeerServerOptions) {
    const { handlers, clock, secure, logger = silentLogger } = options;
    this.logger = logger;
    const handle = createRequestHandler(createPeerService(handlers, clock), logger);
    this.server =
      secure === undefined
        ? createServer({ maxSessionMemory }, handle)
        : createSecureServer({ ...secure, ...mutualTls, maxSessionMemory }, handle);
    this.server.on("session", (session) => this.trackSession(session));
    this.server.on("sessionError", () => undefined);
    this.server.on("tlsClientError", (error: Error) =>
      logger.write(peerEvents.peerRejected, { reason: error.message }),
    );
  }

  /** Starts to serve and returns the address with the actual port. Rejects when the port is in use. */
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

  /** Uses new certificates for later connections; open ones keep theirs. */
  setSecureContext(secure: SecureContextOptions): void {
    if ("setSecureContext" in this.server) {
      (this.server as { setSecureContext(options: SecureContextOptions): void }).setSecureContext(
        secure,
      );
    }
  }

  /** Accepts no more connections, and waits at most `ms` until open streams have finished. */
  async drain(ms: number): Promise<void> {
    if (this.server.listening) this.server.close();
    for (const session of this.sessions) session.close();
    const { clock } = this.options;
    const endAt = clock.now() + ms;
    while (this.sessions.size > 0 && clock.now() < endAt) await clock.sleep(drainPollMs);
    this.dispose();
  }

  /** Destroys all connections immediately. */
  dispose(): void {
    if (this.server.listening) this.server.close();
    for (const session of this.sessions) session.destroy();
  }

  private trackSession(session: ServerHttp2Session): void {
    session.on("error", () => undefined);
    const identityError = this.findIdentityError(session);
    if (identityError !== undefined) {
      this.logger.write(peerEvents.peerRejected, { reason: identityError.message });
      session.destroy();
      return;
    }
    this.sessions.add(session);
    startKeepalive(session, this.options.keepalive ?? defaultKeepalive);
    session.on("close", () => this.sessions.delete(session));
  }

  /**
   * Returns the error when a certificate does not have the peer name. The check of the authority
   * does not suffice, since the authority may also sign certificates of other services.
   */
  private findIdentityError({ socket }: ServerHttp2Session): Error | undefined {
    const { secure } = this.options;
    if (secure === undefined || !(socket instanceof TLSSocket)) return undefined;
    return checkServerIdentity(secure.peerName, socket.getPeerCertificate());
  }
}

const mutualTls = { requestCert: true, rejectUnauthorized: true } as const;
