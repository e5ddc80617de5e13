import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import type { PeerConnectionOptions } from "../peer/index.js";
import type { ProxySettings, TlsSettings } from "../settings/index.js";
import { CertificateStore } from "../tls/index.js";

/** Dependencies of `loadCertificates`. */
export interface SecurityPorts {
  readonly settings: ProxySettings;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The certificates for callers and for peers; absent where the settings turn TLS off. */
export interface Certificates {
  readonly callers?: CertificateStore;
  readonly peers?: CertificateStore;
}

/** Reads the certificates that the settings name. Rejects if one can't be read. */
export async function loadCertificates({
  settings,
  clock,
  logger,
}: SecurityPorts): Promise<Certificates> {
  const load = (files: TlsSettings) =>
    files.type === "off" ? undefined : CertificateStore.load({ files, clock, logger });
  const callers = await load(settings.tls.callers);
  const peers = await load(settings.tls.peers);
  return {
    ...(callers === undefined ? {} : { callers }),
    ...(peers === undefined ? {} : { peers }),
  };
}

/** Returns the TLS options, with this process's certificate, for peers; empty without TLS. */
export function getClientTlsOptions({
  peers,
}: Certificates): Pick<PeerConnectionOptions, "getSecureOptions"> {
  return peers === undefined ? {} : { getSecureOptions: peers.getClientOptions };
}
