/** How far apart two data centres are: the same one, in one region, or in different regions. */
export type Distance = "dataCentre" | "region" | "remote";

/** All distances, the shortest first. */
export const distances: readonly Distance[] = ["dataCentre", "region", "remote"];

/**
 * What a round trip between regions is assumed to take while none has been measured, in milliseconds: the light of
 * a fibre covers about 6,000 km and back in this time.
 */
export const assumedCrossingMs = 60;

/** What crosses between regions: a caller's statement, or a message between proxies. */
export type CrossingKind = "read" | "write" | "transaction" | "control";

/** Orders distances, the shortest first. */
export function compareDistance(a: Distance, b: Distance): number {
  return distances.indexOf(a) - distances.indexOf(b);
}

/**
 * Which region each data centre is in. A data centre without a known region counts as a region of its own, so
 * that its traffic is treated as crossing between regions.
 */
export class Topology {
  /** Whether there are at least two regions. Otherwise distances between regions play no part. */
  readonly hasRegions: boolean;

  private readonly regions: ReadonlyMap<string, string>;

  /** `regions` names the region of each data centre; an empty name stands for none. */
  constructor(private readonly entries: ReadonlyMap<string, string>) {
    this.regions = new Map([...entries].filter(([, region]) => region !== ""));
    this.hasRegions = new Set(this.regions.values()).size > 1;
  }

  /** The data centres whose entries name no region. */
  listWithoutRegion(): readonly string[] {
    return [...this.entries.keys()].filter((dataCentre) => !this.regions.has(dataCentre));
  }

  /** The region of a data centre; undefined where it is unknown. */
  findRegion(dataCentre: string): string | undefined {
    return this.regions.get(dataCentre);
  }

  /** The distance between two data centres. Nothing is remote where there are fewer than two regions. */
  measureDistance(from: string, to: string): Distance {
    if (from === to) return "dataCentre";
    if (!this.hasRegions) return "region";
    const region = this.findRegion(from);
    return region !== undefined && region === this.findRegion(to) ? "region" : "remote";
  }
}

/** A deployment in one region, or whose regions are unknown. */
export const singleRegion = new Topology(new Map());
