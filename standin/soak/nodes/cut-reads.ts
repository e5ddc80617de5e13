import type { NodeFault, TimedFault } from "./fault.js";
import type { SoakSite } from "./site.js";
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
    const kinds = site.kinds.filter(
      ({ type, writes }) => type === "bounded_staleness" && writes === 0,
    );
    for (const { name, maxAgeMs } of kinds) {
      const endsAtMs = cut.atMs + Math.min(cut.forMs, maxAgeMs - site.lagMs);
      const reads = results.filter(
        ({ isOwed, kind, atMs }) =>
          isOwed && kind === name && atMs >= cut.atMs + noticeMs && atMs < endsAtMs,
      );
      for (const region of cut.regions) {
        const asked = reads.filter((read) => read.region === region);
        const served = asked.filter(({ outcome }) => outcome === "served").length;
        const line = `cut at ${cut.atMs} ms: ${served} of ${asked.length} reads of ${name} within their bound were served in ${region}`;
        lines.push(line);
        if (served < asked.length * minServedShare) breaches.push(line);
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
