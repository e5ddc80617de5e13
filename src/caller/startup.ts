import { randomInt } from "node:crypto";
import { settingPrefix } from "../sql/index.js";
import { type CallerError, sqlStates } from "./errors.js";
import {
  backendTypes,
  encodeInt32,
  encodeMessage,
  encodeParameterStatus,
  encodeReadyForQuery,
} from "./message.js";

/** What a caller says of itself when it connects. */
export interface StartupRequest {
  readonly team: string;
  readonly group: string;
  readonly applicationName: string;
  readonly kind?: string;
  /** The token of a session that goes on here; not yet checked. */
  readonly token?: string;
}

/** What a cancel request must name. */
export interface BackendKey {
  readonly processId: number;
  readonly secret: number;
}

/** The parameter that tells a caller its token. */
export const tokenParameter = "radishwalk.session";

const kindPrefix = "kind=";
const utf8Names: ReadonlySet<string> = new Set(["utf8", "utf-8", "unicode", "'utf-8'", "'utf8'"]);

/** Reads the parameters of a start-up message. */
export function parseStartupParameters(
  parameters: Readonly<Record<string, string>>,
): StartupRequest | CallerError {
  const encoding = parameters.client_encoding;
  if (encoding !== undefined && !utf8Names.has(encoding.toLowerCase())) {
    return createFatalError(sqlStates.invalidParameter, "the proxy speaks UTF8 only");
  }
  if (parameters.replication !== undefined) {
    return createFatalError(
      sqlStates.featureNotSupported,
      "replication connections are not supported",
    );
  }
  const team = parameters.user ?? "";
  const settings = new Map([...Object.entries(parameters), ...parseOptions(parameters.options)]);
  const applicationName = settings.get("application_name") ?? "";
  const kind = settings.get(`${settingPrefix}kind`) ?? findKindInName(applicationName);
  const token = settings.get(tokenParameter);
  return {
    team,
    group: parameters.database ?? team,
    applicationName,
    ...(kind === undefined ? {} : { kind }),
    ...(token === undefined ? {} : { token }),
  };
}

/** Whether a start-up was refused. */
export function isCallerError(result: StartupRequest | CallerError): result is CallerError {
  return "severity" in result;
}

/** Draws the key under which a caller may cancel its requests. */
export function generateBackendKey(): BackendKey {
  const max = 2 ** 31 - 1;
  return { processId: randomInt(1, max), secret: randomInt(1, max) };
}

/** Builds the answer to a start-up that is accepted. */
export function encodeStartupReply(reply: {
  readonly serverVersion: string;
  readonly applicationName: string;
  readonly token: string;
  readonly key: BackendKey;
}): Buffer {
  const parameters: readonly (readonly [string, string])[] = [
    ["server_version", reply.serverVersion],
    ["server_encoding", "UTF8"],
    ["client_encoding", "UTF8"],
    ["application_name", reply.applicationName],
    ["DateStyle", "ISO, MDY"],
    ["IntervalStyle", "postgres"],
    ["TimeZone", "UTC"],
    ["integer_datetimes", "on"],
    ["standard_conforming_strings", "on"],
    [tokenParameter, reply.token],
  ];
  const { processId, secret } = reply.key;
  return Buffer.concat([
    encodeMessage(backendTypes.authentication, encodeInt32(0)),
    ...parameters.map(([name, value]) => encodeParameterStatus(name, value)),
    encodeMessage(backendTypes.backendKeyData, encodeInt32(processId), encodeInt32(secret)),
    encodeReadyForQuery("I"),
  ]);
}

/** Reads `-c name=value` and `--name=value`, in which a backslash keeps a blank. */
function parseOptions(options = ""): readonly (readonly [string, string])[] {
  const words = options.match(/(?:\\.|\S)+/g) ?? [];
  return words.flatMap((word) => {
    const setting = /^(?:-c|--)?([\w.]+)=(.*)$/s.exec(word.replace(/\\(.)/g, "$1"));
    return setting === null ? [] : [[setting[1] ?? "", setting[2] ?? ""] as const];
  });
}

function findKindInName(applicationName: string): string | undefined {
  return applicationName.startsWith(kindPrefix)
    ? applicationName.slice(kindPrefix.length)
    : undefined;
}

function createFatalError(code: string, message: string): CallerError {
  return { severity: "FATAL", code, message };
}
