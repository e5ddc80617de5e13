import { readFileSync } from "node:fs";
import { parse } from "yaml";
import { z } from "zod";

const kindSchema = z.object({
  name: z.string(),
  type: z.enum(["primary", "bounded_staleness", "read_your_writes"]),
  /** The level of its routes, 0 being the most important; by default 1 for primary and 2 for other kinds. */
  level: z.number().int().nonnegative().optional(),
  /** Operations per second over all zones. */
  perSecond: z.number().positive(),
  workMs: z.number().nonnegative(),
  objectiveMs: z.number().positive(),
  deadlineMs: z.number().positive(),
  /** Timeout of one statement in the configuration. */
  timeoutMs: z.number().positive(),
  maxAgeMs: z.number().nonnegative().default(0),
  /** The share of statements that write, and of operations that are transactions. */
  writes: z.number().min(0).max(1).default(0),
  transactions: z.number().min(0).max(1).default(0),
  /** What an operation is worth in time, and late. */
  worth: z.number().positive().default(1),
  lateWorth: z.number().nonnegative().default(0.3),
});

const teamSchema = z.object({
  name: z.string(),
  weight: z.number().positive().default(1),
  ratePerSecond: z.number().positive().optional(),
  burst: z.number().nonnegative().default(0),
});

const floorSchema = z.number().min(0).max(1);

const siteSchema = z.object({
  name: z.string(),
  zones: z.array(z.string()).min(1),
  /** The region of each zone; all zones that are not named share one. */
  regions: z.record(z.string(), z.string()).default({}),
  /** What lies between two regions: the delay of each direction and the bandwidth that all its traffic shares. */
  crossing: z
    .object({ delayMs: z.number().nonnegative(), mbitPerSecond: z.number().positive() })
    .default({ delayMs: 30, mbitPerSecond: 42 }),
  nodesPerZone: z.array(z.number().int().positive()).min(1),
  groups: z.number().int().positive(),
  /** The zones of a group's targets, the first primary's first; by default all zones in turn. */
  targetZones: z.array(z.string()).min(1).optional(),
  targetsPerGroup: z.number().int().positive().default(3),
  slots: z.number().int().positive(),
  /** How many statements wait at a target for a slot. */
  queue: z.number().int().nonnegative().default(0),
  connections: z.number().int().positive(),
  connectMs: z.number().nonnegative().default(12),
  lagMs: z.number().nonnegative().default(60),
  /** How many replicas must have received a commit before it is acknowledged. */
  syncReplicas: z.number().int().nonnegative().default(0),
  /** How long after its order a promotion takes effect, and after how long the order is answered. */
  promoteMs: z.number().nonnegative().default(300),
  promoteAnswerMs: z.number().nonnegative().default(0),
  storeMs: z.number().nonnegative().default(4),
  storeReadsPerSecond: z.number().positive().default(2000),
  storeWritesPerSecond: z.number().positive().default(400),
  power: z.number().positive().default(0.675),
  sessionsPerZone: z.number().int().positive().default(68),
  retries: z.number().int().nonnegative().default(2),
  kinds: z.array(kindSchema).min(1),
  /** The least share of what all operations, those of each kind and those of each zone are worth that is earned. */
  floors: z
    .object({ total: floorSchema, kind: floorSchema, zone: floorSchema })
    .default({ total: 0, kind: 0, zone: 0 }),
  /** Without teams callers need no keys. */
  teams: z.array(teamSchema).default([]),
});

/** What is deployed and what its callers ask for. Times are in milliseconds. */
export type SoakSite = Readonly<z.infer<typeof siteSchema>>;
/** A kind of operation, with its own databases. */
export type SoakKind = SoakSite["kinds"][number];
/** A team of callers, with its weight in the traffic and its rate. */
export type SoakTeam = SoakSite["teams"][number];

/** A site of nine nodes with spare capacity, for runs without a site file. Its floors are those of the users. */
export const defaultSite: SoakSite = siteSchema.parse({
  name: "nine",
  zones: ["a", "b", "c"],
  nodesPerZone: [3, 3, 3],
  groups: 3,
  slots: 5,
  connections: 50,
  floors: { total: 0.453, kind: 0.42, zone: 0.45 },
  kinds: [
    {
      name: "reserve",
      type: "primary",
      perSecond: 50,
      workMs: 10,
      objectiveMs: 200,
      deadlineMs: 4000,
      timeoutMs: 1000,
      writes: 0.2,
      transactions: 0.25,
    },
    {
      name: "browse",
      type: "bounded_staleness",
      perSecond: 50,
      workMs: 50,
      objectiveMs: 800,
      deadlineMs: 12_000,
      timeoutMs: 3000,
      maxAgeMs: 1500,
      transactions: 0.1,
    },
    {
      name: "confirm",
      type: "read_your_writes",
      perSecond: 200,
      workMs: 30,
      objectiveMs: 400,
      deadlineMs: 4000,
      timeoutMs: 1000,
      maxAgeMs: 2500,
      writes: 0.12,
      transactions: 0.12,
    },
  ],
});

/** Reads a site from a YAML file. Throws if a field is missing or invalid. */
export function readSite(path: string): SoakSite {
  return siteSchema.parse(parse(readFileSync(path, "utf8")));
}

const onlyRegion = "region";

/** The region of a zone. */
export function findRegion({ regions }: Pick<SoakSite, "regions">, zone: string): string {
  return regions[zone] ?? onlyRegion;
}

/** The regions of a site, that of the store first. */
export function listRegions(site: Pick<SoakSite, "zones" | "regions">): readonly string[] {
  return [...new Set(site.zones.map((zone) => findRegion(site, zone)))];
}

/** Formats the name of the database of a kind in a group. */
export function formatDatabase(kind: string, group: number): string {
  return `${kind}-${group}`;
}

/** Formats the name of a group. */
export function formatGroup(group: number): string {
  return `group-${group}`;
}

/** Formats the key of a team. */
export function formatKey(team: string): string {
  return `key-${team}`;
}
