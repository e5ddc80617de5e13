import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFile } from "node:fs/promises";
import type { SecureClientSessionOptions, SecureServerOptions } from "node:http2";
import { createSecureContext, type SecureContext } from "node:tls";
import { peerEvents } from "../log/events/peer.js";
import { type Logger, silentLogger } from "../log/index.js";
import type { Clock, Disposable } from "../model/index.js";

/** Where certificates lie. */
export interface CertificateFiles {
  /** The certificate and those between it and the authority, PEM. */
  readonly certificate: string;
  readonly key: string;
  /** The authorities that peers' certificates must come from, PEM; not needed for callers. */
  readonly authority?: string;
}

/** What a `CertificateStore` is built from. */
export interface CertificateStoreOptions {
  readonly files: CertificateFiles;
  readonly clock: Clock;
  readonly logger?: Logger;
  /** How often the files are looked at, in milliseconds. */
  readonly checkMs?: number;
}

interface Certificates {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** The name that certificates of proxies carry, since VMs and their addresses come and go. */
export const peerServerName = "radishwalk-peer";

const defaultCheckMs = 2000;
const minVersion = "TLSv1.2";

/**
 * Keeps certificates as the files have them. Files are compared by content: a tool that replaces
 * them may keep their times, and one that writes them one by one leaves a file empty, or a
 * certificate with another's key, for a moment. Such a pair is not taken over; the one before stays
 * in use until the next look.
 */
export class CertificateStore implements Disposable {
  private readonly stopped = new AbortController();
  private readonly handlers: (() => void)[] = [];
  private seen = "";

  private constructor(
    private readonly options: CertificateStoreOptions,
    private certificates: Certificates,
    private context: SecureContext,
  ) {}

  /** Reads the files and begins to look after them. Rejects when they can't be used. */
  static async load(options: CertificateStoreOptions): Promise<CertificateStore> {
    const certificates = await readFiles(options.files);
    const store = new CertificateStore(options, certificates, createContext(certificates));
    store.seen = JSON.stringify(certificates);
    void store.watch();
    return store;
  }

  /** The context for callers' connections to come. */
  readonly getSecureContext = (): SecureContext => this.context;

  /** Options of a server for peers, and what to give it after a change. */
  getServerOptions(): SecureServerOptions & { readonly peerName: string } {
    return { ...this.certificates, minVersion, peerName: peerServerName };
  }

  /** Options of a connection to a peer. */
  readonly getClientOptions = (): SecureClientSessionOptions => ({
    ...this.certificates,
    minVersion,
    servername: peerServerName,
  });

  /** Calls `handle` after each change. */
  subscribe(handle: () => void): void {
    this.handlers.push(handle);
  }

  dispose(): void {
    this.stopped.abort();
  }

  private async watch(): Promise<void> {
    const { clock, checkMs = defaultCheckMs } = this.options;
    const { signal } = this.stopped;
    for (;;) {
      await clock.sleep(checkMs, signal).catch(() => undefined);
      if (signal.aborted) return;
      await this.check();
    }
  }

  private async check(): Promise<void> {
    const { files, logger = silentLogger } = this.options;
    try {
      const certificates = await readFiles(files);
      const content = JSON.stringify(certificates);
      if (content === this.seen) return;
      this.seen = content;
      this.context = createContext(certificates);
      this.certificates = certificates;
      logger.write(peerEvents.certificatesRead, { ...files });
      for (const handle of this.handlers) handle();
    } catch (error) {
      logger.write(peerEvents.certificatesInvalid, { ...files, reason: String(error) });
    }
  }
}

async function readFiles({ certificate, key, authority }: CertificateFiles): Promise<Certificates> {
  const read = (path: string): Promise<string> => readFile(path, "utf8");
  const pair = { cert: await read(certificate), key: await read(key) };
  return authority === undefined ? pair : { ...pair, ca: await read(authority) };
}

function createContext(certificates: Certificates): SecureContext {
  const { cert, key, ca } = certificates;
  // An empty text, as of a file that is just being written, counts as none given: a server would
  // begin handshakes that it can't end, or take the public authorities for its own.
  new X509Certificate(cert);
  createPrivateKey(key);
  if (ca !== undefined) new X509Certificate(ca);
  return createSecureContext({ ...certificates, minVersion });
}
