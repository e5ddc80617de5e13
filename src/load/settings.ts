import { z } from "zod";
import {
  validateDocument,
  defineAddress,
  defineCount,
  defineDuration,
  defineName,
  defineObject,
  parseSettingsDocument,
  type LoadResult,
} from "../settings/index.js";

const weight = defineCount("parts", 0, 1_000_000);

const population = defineObject({
  name: defineName(),
  team: defineName(),
  group: defineName(),
  rate: z.number().positive().max(1_000_000),
  sessions: defineCount("sessions", 1, 100_000),
  roamEvery: defineCount("requests", 0, 1_000_000).default(0),
  attempts: defineCount("attempts", 1, 100).default(5),
  work: defineObject({
    reservation: weight.default(0),
    ownRead: weight.default(0),
    browse: weight.default(0),
  }),
});

const schema = defineObject({
  seed: defineCount("seed", 0, 2 ** 31 - 1).default(1),
  duration: defineDuration("100ms", "24h"),
  warmUp: defineDuration("0s", "1h").default(0),
  requestTimeout: defineDuration("10ms", "10m").default(10_000),
  entries: z.array(defineAddress()).min(1),
  tlsCa: z.string().optional(),
  populations: z.array(population).min(1),
});

/** What one kind of caller does, and how often. */
export type Population = Readonly<z.output<typeof population>>;

/** What the load tool is told to do. Durations are in milliseconds, rates in arrivals a second. */
export type LoadSettings = Readonly<z.output<typeof schema>>;

/** Reads the load tool's YAML. */
export function loadLoadSettings(text: string, source: string): LoadResult<LoadSettings> {
  return validateDocument(parseSettingsDocument(text, source), schema);
}
