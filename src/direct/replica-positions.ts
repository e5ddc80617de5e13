import type { Mark } from "../model/index.js";
import type { PositionHistory } from "../policy/index.js";
import {
  estimateReadyMs,
  holdsMark,
  isStalled,
  recordReport,
  type ReplicaRecord,
  type ReplicaReport,
} from "./positions.js";

/** Whether a replica has the position that a read requires, as far as this process knows. */
export interface Readiness {
  /** It has reported the position. */
  readonly holdsMark: boolean;
  /** The time until a read sent then would find the position, in milliseconds; `Infinity` if it is stalled. */
  readonly readyInMs: number;
  /** Whether one read may try the replica although it is expected to lag. */
  readonly isProbeDue: boolean;
}

/** A position that a statement requires, and since when. */
export interface RequiredMark {
  readonly mark: Mark;
  /** On this process's clock, in milliseconds. */
  readonly since: number;
}

/** Whether a replica was expected to have the position that a read requires. */
export type Expectation = "ready" | "late" | "unknown";

/** A replica's estimated replication delay. */
export interface ReplicaDelay {
  readonly target: string;
  readonly delayMs: number;
}

/** What `ReplicaPositions` reports. */
export interface ReplicaPositionsHandlers {
  /** A replica counts as stalled, or no longer does. */
  readonly onStalledChange: (target: string, isStalled: boolean) => void;
}

/**
 * The shortest time between two reads that try a replica which is expected to lag, in milliseconds. It bounds how
 * long a replica that has caught up is not used, as the longest pause after a failure does.
 */
export const probeIntervalMs = 400;

interface Probe {
  readonly startedAt: number;
  readonly isRunning: boolean;
}

/** The records of a group's replicas, and the reads that try replicas which are expected to lag. */
export class ReplicaPositions {
  private readonly records = new Map<string, ReplicaRecord>();
  private readonly stalled = new Set<string>();
  private readonly probes = new Map<string, Probe>();

  constructor(private readonly handlers: ReplicaPositionsHandlers) {}

  /** Applies a replica's report of the end of its log. */
  record(target: string, report: ReplicaReport, history: PositionHistory): void {
    const record = recordReport(this.records.get(target), report, history);
    this.records.set(target, record);
    this.setStalled(target, isStalled(record));
  }

  /** Estimates when a replica has a position; undefined if nothing is known. `transitMs` is the way of a read to it. */
  assess(
    target: string,
    required: RequiredMark,
    history: PositionHistory,
    now: number,
    transitMs: number,
  ): Readiness | undefined {
    const { mark, since } = required;
    const record = this.records.get(target);
    const readyMs = estimateReadyMs(record, history, mark, now, since);
    if (readyMs === undefined) return undefined;
    return {
      holdsMark: holdsMark(record, history, mark),
      readyInMs: Math.max(0, readyMs - transitMs),
      isProbeDue: this.isProbeDue(target, now),
    };
  }

  /** Starts a read that tries a replica which is expected to lag. Returns the function that ends it. */
  beginProbe(target: string, now: number): () => void {
    const probe = { startedAt: now, isRunning: true };
    this.probes.set(target, probe);
    return () => {
      if (this.probes.get(target) === probe)
        this.probes.set(target, { startedAt: now, isRunning: false });
    };
  }

  /** Discards a record that a refusal contradicts: the replica lacks a position that it had reported. */
  noteRefused(target: string, mark: Mark, history: PositionHistory): void {
    if (holdsMark(this.records.get(target), history, mark)) this.forget(target);
  }

  /** Lists the newest reports. */
  list(): readonly (ReplicaRecord & { readonly target: string })[] {
    return [...this.records].map(([target, record]) => ({ target, ...record }));
  }

  /** Discards what is known of a replica. */
  forget(target: string): void {
    this.records.delete(target);
    this.probes.delete(target);
    this.setStalled(target, false);
  }

  /** Discards what is known of all replicas. */
  forgetAll(): void {
    for (const target of [...this.records.keys(), ...this.probes.keys()]) this.forget(target);
  }

  private isProbeDue(target: string, now: number): boolean {
    const probe = this.probes.get(target);
    return probe === undefined || (!probe.isRunning && now - probe.startedAt >= probeIntervalMs);
  }

  private setStalled(target: string, isNowStalled: boolean): void {
    if (this.stalled.has(target) === isNowStalled) return;
    if (isNowStalled) this.stalled.add(target);
    else this.stalled.delete(target);
    this.handlers.onStalledChange(target, isNowStalled);
  }
}
