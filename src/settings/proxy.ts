import { z } from "zod";
import type { Address } from "../model/index.js";
import { validateDocument } from "./validate.js";
import { parseDocumentText } from "./document.js";
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

/** Where a side's key and certificate are; `off` only where the file says so. */
export type TlsSettings =
  | { readonly type: "off" }
  | {
      readonly type: "files";
      readonly certificate: string;
      readonly key: string;
      /** Certificates of the authorities that the other side's certificate must come from. */
      readonly authority?: string;
    };

/** A key that signs session tokens. The first of the list signs, all of them verify. */
export interface SessionKey {
  readonly id: string;
  readonly secret: string;
}

/** What callers may cost, all together and each. */
export interface CallerLimits {
  readonly connections: number;
  readonly connectionsPerTeam: number;
  readonly messageBytes: number;
  /** From the accepted connection to the end of start-up. */
  readonly startUpMs: number;
  /** Without a message from the caller, outside a transaction. */
  readonly idleMs: number;
  /** Without the caller taking a byte of its answer. */
  readonly writeStallMs: number;
}

/** Time limits towards the outside. */
export interface Deadlines {
  /** For requests that no rule matches. */
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
    /** Health, readiness, metrics and the proxy's report. */
    readonly health: Address;
  };
  /** Addresses of the platform's service, tried in order. */
  readonly platform: readonly Address[];
  /** Peer addresses of other proxies, asked at a start while the platform's service is down. */
  readonly seeds: readonly Address[];
  readonly tls: { readonly callers: TlsSettings; readonly peers: TlsSettings };
  readonly sessionKeys: readonly SessionKey[];
  readonly limits: CallerLimits;
  readonly deadlines: Deadlines;
  readonly drain: {
    /** How long it stays reachable, but not ready, so that the balancer and peers notice. */
    readonly announceMs: number;
    /** The longest wait for what is in flight. */
    readonly limitMs: number;
  };
  readonly log: { readonly level: "debug" | "info" | "warn" | "error" };
}

const minSecretLength = 32;

const file = z.string({ error: "must be the path of a PEM file" }).min(1);

const tlsFiles = defineObject({ certificate: file, key: file, authority: file.optional() });

const tls = z
  .union([z.literal("off"), tlsFiles], {
    error: "must be the word off, or a map with certificate, key and authority",
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

/** Reads a proxy's settings. `source` names the file in faults. */
export function loadProxySettings(text: string, source: string): LoadResult<ProxySettings> {
  const loaded = validateDocument(parseDocumentText(text, source), proxy);
  if (loaded.type === "faulty") return loaded;
  return { ...loaded, value: toProxySettings(loaded.value) };
}

function toProxySettings(read: z.output<typeof proxy>): ProxySettings {
  const { limits, deadlines, drain } = read;
  return {
    ...read,
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
