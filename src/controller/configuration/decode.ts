import { z } from "zod";
import { priorities, type Configuration, type Json } from "../../model/index.js";
import type { ConfigurationDelta } from "./delta.js";

/** A configuration as stored, with the ids of the latest changes, newest first. */
export interface StoredConfiguration extends Configuration {
  readonly changes: readonly string[];
}

/** An update between proxies: a whole configuration, or the difference from an earlier revision. */
export type ConfigurationUpdate =
  | { readonly type: "whole"; readonly configuration: Configuration }
  | { readonly type: "delta"; readonly delta: ConfigurationDelta };

/** A message between proxies: an update and the name of the VM that sends it. */
export interface ConfigurationMessage {
  readonly from: string;
  readonly update: ConfigurationUpdate;
}

const names = z.array(z.string());
const revision = z.int().min(0);
const ms = z.number().min(0);
const team = z.object({ name: z.string(), plan: z.enum(["trial", "paying"]) });

const condition = z.object({
  teams: names.exactOptional(),
  plan: z.enum(["trial", "paying"]).exactOptional(),
  groups: names.exactOptional(),
  kinds: names.exactOptional(),
  effect: z.enum(["read", "write"]).exactOptional(),
  tables: names.exactOptional(),
  transaction: z.boolean().exactOptional(),
});

const route = z.discriminatedUnion("type", [
  z.object({ type: z.literal("primary") }),
  z.object({ type: z.literal("replica") }),
  z.object({ type: z.literal("stale"), maxAgeMs: ms }),
]);

const action = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("serve"),
    route,
    priority: z.enum(priorities),
    deadlineMs: ms,
    maxQueueMs: ms,
    retry: z.object({ attempts: z.int().min(0) }),
    acknowledgement: z.enum(["replicated", "witnessed"]),
  }),
  z.object({ type: z.literal("refuse"), retryAfterMs: ms, reason: z.string() }),
]);

const rule = z.object({ name: z.string(), when: condition, then: action });

const configuration = z.object({
  revision,
  changeId: z.string(),
  teams: z.array(team),
  rules: z.array(rule),
});

const stored = configuration.extend({ changes: names });

const delta = z.object({
  base: revision,
  revision,
  changeId: z.string(),
  teams: z.array(team),
  removedTeams: names,
  rules: z.array(rule),
  order: names.exactOptional(),
});

const update = z.discriminatedUnion("type", [
  z.object({ type: z.literal("whole"), configuration }),
  z.object({ type: z.literal("delta"), delta }),
]);

const message = z.object({ from: z.string(), update });

/** Decodes a configuration; `undefined` when the value is invalid. */
export function decodeConfiguration(value: Json): Configuration | undefined {
  return configuration.safeParse(value).data;
}

/** Decodes the stored value; `undefined` when it is not a configuration. */
export function decodeStored(value: Json): StoredConfiguration | undefined {
  return stored.safeParse(value).data;
}

/** Decodes a peer's message; `undefined` when the value is invalid. */
export function decodeMessage(value: Json): ConfigurationMessage | undefined {
  return message.safeParse(value).data;
}

/** Encodes a message for `decodeMessage`. */
export function encodeMessage(message: ConfigurationMessage): Json {
  return message as unknown as Json;
}
