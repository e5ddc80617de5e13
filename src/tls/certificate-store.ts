import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFile } from "node:fs/promises";
import type { SecureClientSessionOptions, SecureServerOptions } from "node:http2";
import { createSecureContext, type SecureContext } from "node:tls";
import { peerEvents } from "../log/events/peer.js";
import { type Logger, silentLogger } from "../log/index.js";
import type { Clock, Disposable } from "../model/index.js";

/** Paths of the files. */
export interface CertificateFiles {
  /** The certificate, followed by the intermediate certificates, in PEM. */
  readonly certificate: string;
  readonly key: string;
  /** The authorities that must have signed peers' certificates, in PEM; not needed for callers. */
  readonly authority?: string;
}

/** Options of a `CertificateStore`. */
export interface CertificateStoreOptions {
  readonly files: CertificateFiles;
  readonly clock: Clock;
  readonly logger?: Logger;
  /** How often the files are checked for changes, in milliseconds. */
  readonly checkIntervalMs?: number;
}

interface Certificates {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** The name in the certificates of all proxies. Host names do not serve, since VMs and addresses change. */
export const peerServerName = "radishwalk-peer";

const defaultCheckIntervalMs = 2000;
const minVersion = "TLSv1.2";

/**
 * Holds the certificates of the files and reloads them when they change. Files are compared by
 * content, since a tool that replaces them may preserve their modification times. While a tool writes
 * the files one after another, a file can be empty, or the certificate and the key may not match. Such
 * files are rejected, and the previous certificates stay in use until the next check.
 */
export class CertificateStore implements Disposable {
  private readonly disposeController = new AbortController();
  private readonly handlers: (() => void)[] = [];
  private lastContent = "";

  private constructor(
    private readonly options: CertificateStoreOptions,
    private certificates: Certificates,
    private context: SecureContext,
  ) {}

  /** Reads the files and starts to check them for changes. Rejects when they are unusable. */
  static async load(options: CertificateStoreOptions): Promise<CertificateStore> {
    const certificates = await readFiles(options.files);
    const store = new CertificateStore(options, certificates, createContext(certificates));
    store.lastContent = JSON.stringify(certificates);
    void store.runChecks();
    return store;
  }

  /** Returns the context for new connections of callers. */
  readonly getSecureContext = (): SecureContext => this.context;

  /** Returns the options of a server for peers; pass them to `setSecureContext` after a change. */
  getServerOptions(): SecureServerOptions & { readonly peerName: string } {
    return { ...this.certificates, minVersion, peerName: peerServerName };
  }

  /** Returns the options for a new connection to a peer. */
  readonly getClientOptions = (): SecureClientSessionOptions => ({
    ...this.certificates,
    minVersion,
    servername: peerServerName,
  });

  /** Calls `handle` after each reload. */
  subscribe(handle: () => void): void {
    this.handlers.push(handle);
  }

  dispose(): void {
    this.disposeController.abort();
  }

  private async runChecks(): Promise<void> {
    const { clock, checkIntervalMs = defaultCheckIntervalMs } = this.options;
    const { signal } = this.disposeController;
    for (;;) {
      await clock.sleep(checkIntervalMs, signal).catch(() => undefined);
      if (signal.aborted) return;
      await this.reloadIfChanged();
    }
  }

  private async reloadIfChanged(): Promise<void> {
    const { files, logger = silentLogger } = this.options;
    try {
      const certificates = await readFiles(files);
      const content = JSON.stringify(certificates);
      if (content === this.lastContent) return;
      this.lastContent = content;
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
  // Node treats an empty string, such as from a file that is being written, as an absent option: a
  // server would fail every handshake, or would trust the public authorities. These calls reject it.
  new X509Certificate(cert);
  createPrivateKey(key);
  if (ca !== undefined) new X509Certificate(ca);
  return createSecureContext({ ...certificates, minVersion });
}
