import type { NodeFault, TimedFault } from "./faults.js";
import { listRegions, type SoakKind, type SoakSite } from "./site.js";
import type { OperationResult } from "./tally.js";

/** Nodes may take this long to notice that the link between regions is cut. */
const noticeMs = 1000;
/** Faults that start less than this before a cut may still take effect during it: restarts in turn last longest. */
const earlierFaultMs = 40_000;
/** The share of reads that are served within their objective: callers retry nothing beyond it. */
const minServedShare = 0.9;

/** What was found of the reads asked for while links were cut. */
export interface CutReads {
  readonly breaches: readonly string[];
  /** A line for each cut, region and kind, with the number of reads that were served. */
  readonly lines: readonly string[];
}

type Cut = Extract<NodeFault, { readonly type: "cutRegions" }> & { readonly atMs: number };

/**
 * Checks that reads with a staleness bound are served in both regions from a second after the link between them was cut
 * until the bound is over. From then on a region without its primary can't know whether its replicas are fresh enough.
 * Cuts that overlap with other faults are not checked, because these may leave nothing that serves reads.
 */
export function checkCutReads(
  site: SoakSite,
  faults: readonly TimedFault[],
  results: readonly OperationResult[],
): CutReads {
  const lines: string[] = [];
  const breaches: string[] = [];
  for (const cut of listCuts(faults)) {
    if (isDisturbed(cut, faults)) {
      lines.push(`cut at ${cut.atMs} ms: not checked, other faults overlap with it`);
      continue;
    }
    for (const kind of site.kinds) {
      for (const region of listRegions(site).filter((name) => cut.regions.includes(name))) {
        const { asked, served } = countReads(site.lagMs, cut, kind, region, results);
        if (asked === 0) continue;
        const line = `cut at ${cut.atMs} ms: ${served} of ${asked} reads of ${kind.name} within their bound were served in ${region}`;
        lines.push(line);
        if (served < asked * minServedShare) breaches.push(line);
      }
    }
  }
  return { breaches, lines };
}

function listCuts(faults: readonly TimedFault[]): readonly Cut[] {
  return faults.flatMap(({ atMs, fault }) =>
    fault.type === "cutRegions" ? [{ ...fault, atMs }] : [],
  );
}

function isDisturbed(cut: Cut, faults: readonly TimedFault[]): boolean {
  const overlapping = faults.filter(
    ({ atMs }) => atMs >= cut.atMs - earlierFaultMs && atMs <= cut.atMs + cut.forMs,
  );
  return overlapping.length > 1;
}

function countReads(
  lagMs: number,
  { atMs, forMs }: Cut,
  kind: SoakKind,
  region: string,
  results: readonly OperationResult[],
): { readonly asked: number; readonly served: number } {
  const isRead = kind.type === "bounded_staleness" && kind.writes === 0;
  const endsAtMs = atMs + Math.min(forMs, kind.maxAgeMs - lagMs);
  const reads = results.filter(
    (result) =>
      isRead &&
      result.isOwed &&
      result.kind === kind.name &&
      result.region === region &&
      result.atMs >= atMs + noticeMs &&
      result.atMs < endsAtMs,
  );
  const served = reads.filter(({ outcome }) => outcome === "served").length;
  return { asked: reads.length, served };
}
