import { CallerServer, type CallerServerOptions } from "../caller/index.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import type { ProxySettings } from "../settings/index.js";
import type { CertificateStore } from "../tls/index.js";

/** Dependencies of the `CallerServer` on the rest of the proxy. */
export interface CallerPorts extends Pick<
  CallerServerOptions,
  "gateway" | "hasGroup" | "match" | "findTeam"
> {
  readonly settings: ProxySettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly certificates: CertificateStore | undefined;
}

/** Creates the server for callers from the settings; without TLS if `certificates` is undefined. */
export function createCallerServer({
  settings,
  certificates,
  ...ports
}: CallerPorts): CallerServer {
  const { limits, drain } = settings;
  const keys = settings.sessionKeys.map((key) => Buffer.from(key.secret, "utf8"));
  return new CallerServer({
    ...ports,
    address: settings.listen.callers,
    tokenKeys: () => keys,
    ...(certificates === undefined ? {} : { getSecureContext: certificates.getSecureContext }),
    limits: {
      maxConnections: limits.connections,
      maxConnectionsPerTeam: limits.connectionsPerTeam,
      maxMessageBytes: limits.messageBytes,
      startupMs: limits.startUpMs,
      idleMs: limits.idleMs,
      writeStallMs: limits.writeStallMs,
      drainMs: drain.limitMs,
    },
  });
}
