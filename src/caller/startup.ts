import { randomInt } from "node:crypto";
import { settingPrefix } from "../sql/index.js";
import { type CallerError, sqlStates } from "./errors.js";
import { backend, encodeInt32, encodeMessage, encodeParameter, encodeReady } from "./message.js";

/** What a caller says of itself when it connects. */
export interface Introduction {
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
export function readIntroduction(
  parameters: Readonly<Record<string, string>>,
): Introduction | CallerError {
  const encoding = parameters.client_encoding;
  if (encoding !== undefined && !utf8Names.has(encoding.toLowerCase())) {
    return refuse(sqlStates.invalidParameter, "the proxy speaks UTF8 only");
  }
  if (parameters.replication !== undefined) {
    return refuse(sqlStates.featureNotSupported, "replication connections are not supported");
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
export function isRefused(result: Introduction | CallerError): result is CallerError {
  return "severity" in result;
}

/** Draws the key under which a caller may cancel its requests. */
export function drawBackendKey(): BackendKey {
  const max = 2 ** 31 - 1;
  return { processId: randomInt(1, max), secret: randomInt(1, max) };
}

/** Builds the answer to a start-up that is accepted. */
export function encodeGreeting(greeting: {
  readonly serverVersion: string;
  readonly applicationName: string;
  readonly token: string;
  readonly key: BackendKey;
}): Buffer {
  const parameters: readonly (readonly [string, string])[] = [
    ["server_version", greeting.serverVersion],
    ["server_encoding", "UTF8"],
    ["client_encoding", "UTF8"],
    ["application_name", greeting.applicationName],
    ["DateStyle", "ISO, MDY"],
    ["IntervalStyle", "postgres"],
    ["TimeZone", "UTC"],
    ["integer_datetimes", "on"],
    ["standard_conforming_strings", "on"],
    [tokenParameter, greeting.token],
  ];
  const { processId, secret } = greeting.key;
  return Buffer.concat([
    encodeMessage(backend.authentication, encodeInt32(0)),
    ...parameters.map(([name, value]) => encodeParameter(name, value)),
    encodeMessage(backend.backendKeyData, encodeInt32(processId), encodeInt32(secret)),
    encodeReady("I"),
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

function refuse(code: string, message: string): CallerError {
  return { severity: "FATAL", code, message };
}
