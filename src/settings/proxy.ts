import { z } from "zod";
import type { Address } from "../model/index.js";
import { validateDocument } from "./validate.js";
import { parseSettingsDocument } from "./document.js";
import type { LoadResult } from "./fault.js";
import {
  defineAddress,
  defineCount,
  defineDuration,
  defineName,
  defineObject,
  defineSize,
  defineChoice,
} from "./fields.js";

/** The TLS files of one listener; `off` only if the settings file says so explicitly. */
export type TlsSettings =
  | { readonly type: "off" }
  | {
      readonly type: "files";
      readonly certificate: string;
      readonly key: string;
      /** Certificates of the authorities that must have issued the other side's certificate. */
      readonly authority?: string;
    };

/** A key for session tokens. The first key of the list signs tokens; all of them verify tokens. */
export interface SessionKey {
  readonly id: string;
  readonly secret: string;
}

/** Limits on the resources of all callers together and of each caller. */
export interface CallerLimits {
  readonly connections: number;
  readonly connectionsPerTeam: number;
  readonly messageBytes: number;
  /** The longest time from accepting a connection to the end of its start-up. */
  readonly startUpMs: number;
  /** The longest time without a message from the caller, outside a transaction. */
  readonly idleMs: number;
  /** The longest time in which the caller reads no byte of its answer. */
  readonly writeStallMs: number;
}

/** Time limits of requests and of calls to other processes. */
export interface Deadlines {
  /** The deadline of requests that no rule matches. */
  readonly requestMs: number;
  readonly targetConnectMs: number;
  readonly targetControlMs: number;
  readonly peerMs: number;
  readonly storeMs: number;
}

/** The settings of one proxy. */
export interface ProxySettings {
  readonly vm: string;
  readonly dataCentre: string;
  readonly listen: {
    readonly callers: Address;
    readonly peers: Address;
    /** Serves health, readiness, metrics and the proxy's report. */
    readonly health: Address;
  };
  /** Addresses of the platform's service, tried in order. */
  readonly platform: readonly Address[];
  /** Peer addresses of other proxies, asked at start if the platform's service is unreachable. */
  readonly seeds: readonly Address[];
  readonly tls: { readonly callers: TlsSettings; readonly peers: TlsSettings };
  readonly sessionKeys: readonly SessionKey[];
  readonly limits: CallerLimits;
  readonly deadlines: Deadlines;
  readonly drain: {
    /** How long the proxy stays reachable but not ready, so that the balancer and peers notice. */
    readonly announceMs: number;
    /** The longest time to wait for requests in flight. */
    readonly limitMs: number;
  };
  readonly log: { readonly level: "debug" | "info" | "warn" | "error" };
}

const minSecretLength = 32;

const file = z.string({ error: "must be the path of a PEM file" }).min(1);

const tlsFiles = defineObject({ certificate: file, key: file, authority: file.optional() });

const tls = z
  .union([z.literal("off"), tlsFiles], {
    error: "must be off, or a map with certificate, key and authority",
  })
  .transform((value): TlsSettings => {
    if (value === "off") return { type: "off" };
    const { authority, ...rest } = value;
    return { type: "files", ...rest, ...(authority === undefined ? {} : { authority }) };
  });

const sessionKey = defineObject({
  id: defineName(),
  secret: z
    .string({ error: `must be a secret of at least ${minSecretLength} characters` })
    .min(minSecretLength, { error: `must have at least ${minSecretLength} characters` }),
});

const limits = defineObject({
  connections: defineCount("connections", 1, 100_000).default(5000),
  connectionsPerTeam: defineCount("connections", 1, 100_000).default(1000),
  message: defineSize("1KiB", "64MiB").prefault("16MiB"),
  startUp: defineDuration("100ms", "1m").prefault("5s"),
  idle: defineDuration("1s", "24h").prefault("10m"),
  writeStall: defineDuration("100ms", "10m").prefault("15s"),
});

const deadlines = defineObject({
  request: defineDuration("10ms", "10m").prefault("10s"),
  targetConnect: defineDuration("10ms", "1m").prefault("2s"),
  targetControl: defineDuration("10ms", "1m").prefault("1s"),
  peer: defineDuration("10ms", "1m").prefault("1s"),
  store: defineDuration("10ms", "1m").prefault("2s"),
});

const proxy = defineObject({
  vm: defineName(),
  dataCentre: defineName(),
  listen: defineObject({
    callers: defineAddress(),
    peers: defineAddress(),
    health: defineAddress(),
  }),
  platform: z
    .array(defineAddress(), { error: "must be a list of addresses" })
    .min(1, { error: "must have at least one address" }),
  seeds: z.array(defineAddress(), { error: "must be a list of addresses" }).default([]),
  tls: defineObject({ callers: tls, peers: tls }),
  sessionKeys: z
    .array(sessionKey, { error: "must be a list of keys, each with id and secret" })
    .min(1, { error: "must have at least one key" }),
  limits: limits.prefault({}),
  deadlines: deadlines.prefault({}),
  drain: defineObject({
    announce: defineDuration("0ms", "1m").prefault("3s"),
    limit: defineDuration("1s", "1h").prefault("1m"),
  }).prefault({}),
  log: defineObject({
    level: defineChoice(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
});

/** Loads a proxy's settings. `source` is the file name that faults give. */
export function loadProxySettings(text: string, source: string): LoadResult<ProxySettings> {
  const loaded = validateDocument(parseSettingsDocument(text, source), proxy);
  if (loaded.type === "faulty") return loaded;
  return { ...loaded, value: toProxySettings(loaded.value) };
}

function toProxySettings(parsed: z.output<typeof proxy>): ProxySettings {
  const { limits, deadlines, drain } = parsed;
  return {
    ...parsed,
    limits: {
      connections: limits.connections,
      connectionsPerTeam: limits.connectionsPerTeam,
      messageBytes: limits.message,
      startUpMs: limits.startUp,
      idleMs: limits.idle,
      writeStallMs: limits.writeStall,
    },
    deadlines: {
      requestMs: deadlines.request,
      targetConnectMs: deadlines.targetConnect,
      targetControlMs: deadlines.targetControl,
      peerMs: deadlines.peer,
      storeMs: deadlines.store,
    },
    drain: { announceMs: drain.announce, limitMs: drain.limit },
  };
}
