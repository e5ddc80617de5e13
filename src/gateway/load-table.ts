import type { LoadReport } from "./load-codec.js";
import { maxReportedWaitMs, type LoadFigures, type LoadRole } from "./load-figures.js";

/** A report as an entry node keeps it. */
export interface KnownLoad extends LoadFigures {
  /** When the figures were computed, on this process's clock, in milliseconds. */
  readonly at: number;
}

/** Older figures are not believed, in milliseconds. */
export const maxLoadAgeMs = 1000;
/** No gateway keeps figures for this long; a report that says so is wrong. In milliseconds. */
const absurdAgeMs = 60_000;

/**
 * Levels count as closed for this long after the figures were computed, in milliseconds; then one statement asks
 * again. A queue admits a level again within the service times of a few statements.
 */
export const maxClosedAgeMs = 100;

/** Why a report can't be used: its age or its wait is no time that a gateway sends. */
export function findReportFault({ waitMs, ageMs }: LoadReport): string | undefined {
  if (!isWithin(ageMs, absurdAgeMs)) return `the age is ${ageMs} ms`;
  return isWithin(waitMs, maxReportedWaitMs) ? undefined : `the wait is ${waitMs} ms`;
}

/** The last load report of each gateway, group and role. */
export class LoadTable {
  private readonly byGateway = new Map<string, Map<string, KnownLoad>>();

  /** Keeps a report that arrived at `now`. */
  record(vm: string, { group, role, ageMs, ...figures }: LoadReport, now: number): void {
    const known = this.byGateway.get(vm) ?? new Map<string, KnownLoad>();
    known.set(`${role} ${group}`, { ...figures, at: now - ageMs });
    this.byGateway.set(vm, known);
  }

  /** Finds a gateway's load; undefined when no report is known or the last one is too old. */
  find(vm: string, group: string, role: LoadRole, now: number): KnownLoad | undefined {
    const load = this.byGateway.get(vm)?.get(`${role} ${group}`);
    if (load === undefined || now - load.at > maxLoadAgeMs) return undefined;
    const { waitMs, at } = load;
    return now - at > maxClosedAgeMs ? { waitMs, at } : load;
  }

  /** Drops the reports of a gateway, whose connection ended or which refused to serve. */
  forget(vm: string): void {
    this.byGateway.delete(vm);
  }

  /** Drops the reports of a gateway about one group. */
  forgetGroup(vm: string, group: string): void {
    for (const role of ["primary", "replica"]) this.byGateway.get(vm)?.delete(`${role} ${group}`);
  }

  /** Drops all reports. */
  clear(): void {
    this.byGateway.clear();
  }
}

function isWithin(value: number, limit: number): boolean {
  return value >= 0 && value <= limit;
}
