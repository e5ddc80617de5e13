import type { ProxyReport } from "../report/index.js";
import { formatMark, formatTerm, type Json, type TargetView } from "../model/index.js";
import type { ServedGroup } from "../owner/index.js";

/** The entry of one group in a proxy's report. */
export type GroupReport = ProxyReport["groups"][number];

/** Describes a group for operators, from the state that its owner holds. */
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
  const view = targets[name];
  if (view === undefined) return { target: name, role: "unknown", missedProbes: 0 };
  const primaryOffset = primary && targets[primary.target]?.status.mark.offset;
  return {
    target: name,
    role: view.status.role,
    mark: formatMark(view.status.mark),
    missedProbes: view.missedProbes,
    ...(primaryOffset === undefined ? {} : { lag: computeLag(primaryOffset, view) }),
  };
}

function computeLag(primaryOffset: number, { status }: TargetView): number {
  return Math.max(0, primaryOffset - status.mark.offset);
}

/** Converts the report to the JSON that is sent. */
export function encodeReport(report: ProxyReport): Json {
  return JSON.parse(JSON.stringify(report)) as Json;
}
