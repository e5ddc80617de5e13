import type { ProxyReport } from "../report/index.js";
import { formatMark, formatTerm, type Json, type TargetView } from "../model/index.js";
import type { ServedGroup } from "../owner/index.js";

/** A group in a proxy's report. */
export type GroupReport = ProxyReport["groups"][number];

/** Describes a group for operators, as its owner sees it. */
export function describeGroup(served: ServedGroup): GroupReport {
  const { primary } = served.getView();
  return {
    group: served.name,
    queued: served.countQueued(),
    targets: served.listTargets().map((name) => describeTarget(name, served)),
    ...(primary === undefined ? {} : { primary: primary.target, term: formatTerm(primary.term) }),
  };
}

function describeTarget(name: string, served: ServedGroup): GroupReport["targets"][number] {
  const { primary, targets } = served.getView();
  const seen = targets[name];
  if (seen === undefined) return { target: name, role: "unknown", missedProbes: 0 };
  const end = primary && targets[primary.target]?.status.mark.offset;
  return {
    target: name,
    role: seen.status.role,
    mark: formatMark(seen.status.mark),
    missedProbes: seen.missedProbes,
    ...(end === undefined ? {} : { lag: measureLag(end, seen) }),
  };
}

function measureLag(end: number, { status }: TargetView): number {
  return Math.max(0, end - status.mark.offset);
}

/** The report as it goes over the wire. */
export function encodeReport(report: ProxyReport): Json {
  return JSON.parse(JSON.stringify(report)) as Json;
}
