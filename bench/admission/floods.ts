import { World, type Arrangement, type Job, type RunLog } from "./world.js";
import { makeStreams, shapes, type GroupShape, type Stream } from "./workload.js";

/** What the callers of one stream met. Latencies in milliseconds, of those served. */
export interface StreamFigures {
  readonly sent: number;
  readonly served: number;
  readonly lost: number;
  readonly p50: number;
  readonly p99: number;
  readonly worst: number;
}

/** One run: a group, an arrangement and a flood. */
export interface FloodFigures {
  readonly group: string;
  readonly arrangement: Arrangement;
  /** Times what the slots bear. */
  readonly flood: number;
  readonly streams: Readonly<Record<Stream["name"], StreamFigures>>;
  readonly refusals: number;
  /** Share of the refusals that came after more than half of the wait that the rule allows. */
  readonly lateShare: number;
  /** Time from a try to its refusal. */
  readonly refusedAfterMs: { readonly p50: number; readonly p99: number; readonly worst: number };
  /** From the end of the flood to the last refusal; 0 when none came after it. */
  readonly stormMs: number;
}

const startMs = 2000;
const floodEndMs = 32_000;
const endMs = 40_000;

/** Runs each group under each flood, with one queue and with limits split over eight proxies. */
export function measureFloods(seed: number, floods = [0, 1, 3, 10]): readonly FloodFigures[] {
  const arrangements: readonly Arrangement[] = ["owner", "split"];
  return shapes.flatMap((shape) =>
    arrangements.flatMap((arrangement) =>
      floods.map((flood) => measureFlood(shape, arrangement, flood, seed)),
    ),
  );
}

function measureFlood(
  shape: GroupShape,
  arrangement: Arrangement,
  flood: number,
  seed: number,
): FloodFigures {
  const world = new World(shape, arrangement, seed);
  for (const stream of makeStreams(flood)) {
    const isFlood = stream.name !== "payingWrite" && stream.name !== "payingRead";
    world.send(stream, isFlood ? startMs : 0, isFlood ? floodEndMs : endMs - 4000);
  }
  const log = world.run(endMs);
  return {
    group: shape.name,
    arrangement,
    flood,
    streams: summariseStreams(log),
    refusals: log.refusedAfterMs.length,
    lateShare: log.lateRefusals / Math.max(1, log.refusedAfterMs.length),
    refusedAfterMs: summarise(log.refusedAfterMs),
    stormMs: Math.max(0, log.lastRefusalAt - floodEndMs),
  };
}

function summariseStreams(log: RunLog): FloodFigures["streams"] {
  const of = (name: Stream["name"]) => summariseStream(log.jobs, name);
  return {
    payingWrite: of("payingWrite"),
    payingRead: of("payingRead"),
    browsing: of("browsing"),
    browsingOnPrimary: of("browsingOnPrimary"),
    trialRead: of("trialRead"),
    trialWrite: of("trialWrite"),
  };
}

function summariseStream(jobs: readonly Job[], name: Stream["name"]): StreamFigures {
  const own = jobs.filter(
    (j) => j.stream.name === name && j.sentAt >= startMs && j.sentAt < floodEndMs,
  );
  const served = own.flatMap((j) => (j.end?.type === "served" ? j.end.at - j.sentAt : []));
  return {
    sent: own.length,
    served: served.length,
    lost: own.length - served.length,
    ...summarise(served),
  };
}

function summarise(values: readonly number[]) {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) => round(sorted[Math.floor(share * (sorted.length - 1))] ?? 0);
  return { p50: at(0.5), p99: at(0.99), worst: at(1) };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
