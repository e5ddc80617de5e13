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

/** The settings that a caller gives in its start-up message. */
export interface StartupRequest {
  readonly team: string;
  readonly group: string;
  readonly applicationName: string;
  readonly kind?: string;
  /** The token of a session that continues here; not yet verified. */
  readonly token?: string;
}

/** The process id and secret that a cancel request must contain. */
export interface BackendKey {
  readonly processId: number;
  readonly secret: number;
}

/** The parameter in which a caller sends and receives its session token. */
export const tokenParameter = "radishwalk.session";

const kindPrefix = "kind=";
const utf8Names: ReadonlySet<string> = new Set(["utf8", "utf-8", "unicode", "'utf-8'", "'utf8'"]);

/** Parses the parameters of a start-up message. */
export function parseStartupParameters(
  parameters: Readonly<Record<string, string>>,
): StartupRequest | CallerError {
  const encoding = parameters.client_encoding;
  if (encoding !== undefined && !utf8Names.has(encoding.toLowerCase())) {
    return createFatalError(
      sqlStates.invalidParameter,
      `client_encoding "${encoding}" is not supported, only UTF8`,
    );
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

/** Whether a start-up message is refused. */
export function isCallerError(result: StartupRequest | CallerError): result is CallerError {
  return "severity" in result;
}

/** Generates a random key with which a caller may cancel its requests. */
export function generateBackendKey(): BackendKey {
  const max = 2 ** 31 - 1;
  return { processId: randomInt(1, max), secret: randomInt(1, max) };
}

/** Builds the reply to an accepted start-up message, up to the first `ReadyForQuery`. */
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

/** Parses `-c name=value` and `--name=value`; a backslash escapes a blank. */
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
