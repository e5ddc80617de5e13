import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import {
  invariants,
  setViolationHandler,
  type Disposable,
  type Invariant,
  type NotRunReason,
  type Priority,
  type Verdict,
} from "../model/index.js";
import type { CrossingKind } from "../topology/index.js";
import { LabelLimiter } from "./label-limiter.js";
import { LevelMetrics } from "./level-metrics.js";
import { ReplicaMetrics } from "./replicas.js";
import { GatewayShareGauge, type GatewayShareSample } from "./gateway-shares.js";
import { SlotGauges } from "./slots.js";

const maxGroupLabels = 200;
const waitBucketsSeconds = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10];
const gapBucketsSeconds = [0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 18, 30, 60];

/** The outcome of one request. */
export interface RequestSample {
  readonly verdict: "answered" | Verdict["type"];
  readonly reason?: NotRunReason;
  /** The class of the rule that matched; absent if none matched or the rule refused the request. */
  readonly priority?: Priority;
}

/** The durations of one failover, as the group's owner measured them. */
export interface FailoverSample {
  readonly group: string;
  readonly gapSeconds: number;
  readonly phaseSeconds: Readonly<Record<"detect" | "fence" | "promote" | "firstWrite", number>>;
}

/** The states of a connection to a target. */
export type ConnectionState = "opening" | "idle" | "active" | "suspect";

/** The use of one target's slots by this process. */
export interface SlotSample {
  readonly group: string;
  readonly target: string;
  readonly running: number;
  readonly free: number;
  /** Transactions that are idle between two statements at the target. */
  readonly idle: number;
}

/** The metrics of a process; see `createMetrics`. */
export interface Metrics {
  recordRequest(sample: RequestSample): void;
  recordRead(group: string, role: "primary" | "replica"): void;
  recordFailover(sample: FailoverSample): void;
  recordQueueWait(priority: Priority, seconds: number): void;
  /** Records a caller's statement with the time from its arrival to its final answer. */
  recordStatement(outcome: string, seconds: number): void;
  /** Counts a read that this process left to the primary's gateway. */
  recordRedirect(group: string): void;
  recordStoreCall(operation: string, outcome: string): void;
  /** Counts a statement or message that this process sends to another region. */
  recordCrossing(kind: CrossingKind): void;
  recordViolation(invariant: Invariant): void;
  setConnections(group: string, state: ConnectionState, count: number): void;
  setRevision(revision: number): void;
  setCallers(count: number): void;
  /** Sets where the metrics of slots are read whenever they are rendered. */
  observeSlots(read: () => readonly SlotSample[]): void;
  /** Sets where the shares of gateways are read whenever the metrics are rendered. */
  observeGatewayShares(read: () => readonly GatewayShareSample[]): void;
  /**
   * Counts each violated invariant and passes it to `handle`. Disposing the result restores the
   * previous handler.
   */
  observeViolations(handle: (invariant: Invariant, detail: string) => void): Disposable;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
  readonly contentType: string;
  /** The metrics of statements with a level. */
  readonly levels: LevelMetrics;
  /** The metrics of replicas' positions. */
  readonly replicas: ReplicaMetrics;
}

/**
 * The interval between two samples of the event loop's delay. At the library's default of 10 ms, an
 * idle process wakes up 99 times and uses 9.2 ms of processor time per second; at this interval it
 * wakes up 3 times and uses 0.7 ms. A node may use 12 ms per second for all of its control work.
 */
const eventLoopSampleMs = 1000;

/** Creates metrics on their own registry; `process` adds the default metrics of `prom-client`. */
export function createMetrics(options: { readonly process?: boolean } = {}): Metrics {
  const registry = new Registry();
  if (options.process === true) {
    collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: eventLoopSampleMs });
  }
  return new RegistryMetrics(registry);
}

class RegistryMetrics implements Metrics {
  readonly contentType: string;
  readonly levels: LevelMetrics;
  readonly replicas: ReplicaMetrics;
  private readonly groupLabels = new LabelLimiter(maxGroupLabels);
  private readonly readCounts = { primary: 0, replica: 0 };
  private readonly slots: SlotGauges;
  private readonly gatewayShares: GatewayShareGauge;

  private readonly requests: Counter<"verdict" | "reason" | "class">;
  private readonly reads: Counter<"group" | "role">;
  private readonly failoverGaps: Histogram<"group">;
  private readonly failoverPhases: Histogram<"phase">;
  private readonly queueWaits: Histogram<"class">;
  private readonly statements: Histogram<"outcome">;
  private readonly redirects: Counter<"group">;
  private readonly storeCalls: Counter<"operation" | "outcome">;
  private readonly crossings: Counter<"kind">;
  private readonly violations: Counter<"invariant">;
  private readonly connections: Gauge<"group" | "state">;
  private readonly revision: Gauge;
  private readonly callers: Gauge;

  constructor(private readonly registry: Registry) {
    this.contentType = registry.contentType;
    this.levels = new LevelMetrics(registry);
    const define = <L extends string>(name: string, help: string, labelNames: readonly L[]) => ({
      name: `radishwalk_${name}`,
      help,
      labelNames,
      registers: [registry],
    });
    const { readCounts } = this;
    this.requests = new Counter(
      define("requests_total", "Requests by verdict, reason and rule class.", [
        "verdict",
        "reason",
        "class",
      ]),
    );
    this.reads = new Counter(
      define("reads_total", "Reads answered, by role of the target.", ["group", "role"]),
    );
    new Gauge({
      ...define("replica_read_ratio", "Share of reads that replicas answered.", []),
      collect() {
        const all = readCounts.primary + readCounts.replica;
        this.set(all === 0 ? 0 : readCounts.replica / all);
      },
    });
    this.failoverGaps = new Histogram({
      ...define(
        "failover_gap_seconds",
        "Time from the last write acknowledged before a failover to the first one after it.",
        ["group"],
      ),
      buckets: gapBucketsSeconds,
    });
    this.failoverPhases = new Histogram({
      ...define("failover_phase_seconds", "Durations of the phases of a failover.", ["phase"]),
      buckets: gapBucketsSeconds,
    });
    this.queueWaits = new Histogram({
      ...define("queue_wait_seconds", "Time that requests waited for a slot, by class.", ["class"]),
      buckets: waitBucketsSeconds,
    });
    this.statements = new Histogram({
      ...define("statement_seconds", "Time from a statement's arrival to its final answer.", [
        "outcome",
      ]),
      buckets: waitBucketsSeconds,
    });
    this.redirects = new Counter(
      define("redirects_total", "Reads that were left to the gateway of their primary.", ["group"]),
    );
    this.storeCalls = new Counter(
      define("store_calls_total", "Calls to the platform's store.", ["operation", "outcome"]),
    );
    this.crossings = new Counter(
      define("region_crossings_total", "Requests sent to another region, by kind.", ["kind"]),
    );
    this.violations = new Counter(
      define("invariant_violations_total", "Violations of invariants.", ["invariant"]),
    );
    this.connections = new Gauge(
      define("connections", "Connections to targets, by state.", ["group", "state"]),
    );
    this.revision = new Gauge(
      define("configuration_revision", "Revision of the configuration in force.", []),
    );
    this.slots = new SlotGauges(registry, this.groupLabels);
    this.replicas = new ReplicaMetrics(registry, this.groupLabels);
    this.gatewayShares = new GatewayShareGauge(registry);
    this.callers = new Gauge(define("callers_connected", "Number of connected callers.", []));
    for (const invariant of invariants) this.violations.inc({ invariant }, 0);
  }

  recordRequest({ verdict, reason, priority }: RequestSample): void {
    this.requests.inc({ verdict, reason: reason ?? "", class: priority ?? "" });
  }

  recordRead(group: string, role: "primary" | "replica"): void {
    this.readCounts[role] += 1;
    this.reads.inc({ group: this.groupLabels.toLabelValue(group), role });
  }

  recordFailover({ group, gapSeconds, phaseSeconds }: FailoverSample): void {
    this.failoverGaps.observe({ group: this.groupLabels.toLabelValue(group) }, gapSeconds);
    for (const [phase, seconds] of Object.entries(phaseSeconds))
      this.failoverPhases.observe({ phase }, seconds);
  }

  recordQueueWait(priority: Priority, seconds: number): void {
    this.queueWaits.observe({ class: priority }, seconds);
  }

  /** Records a caller's statement with the time from its arrival to its final answer. */
  recordStatement(outcome: string, seconds: number): void;
  recordStatement(outcome: string, seconds: number): void {
    this.statements.observe({ outcome }, seconds);
  }

  recordRedirect(group: string): void {
    this.redirects.inc({ group: this.groupLabels.toLabelValue(group) });
  }

  recordStoreCall(operation: string, outcome: string): void {
    this.storeCalls.inc({ operation, outcome });
  }

  recordCrossing(kind: CrossingKind): void {
    this.crossings.inc({ kind });
  }

  recordViolation(invariant: Invariant): void {
    this.violations.inc({ invariant });
  }

  setConnections(group: string, state: ConnectionState, count: number): void {
    this.connections.set({ group: this.groupLabels.toLabelValue(group), state }, count);
  }

  setRevision(revision: number): void {
    this.revision.set(revision);
  }

  setCallers(count: number): void {
    this.callers.set(count);
  }

  observeSlots(read: () => readonly SlotSample[]): void {
    this.slots.observe(read);
  }

  observeGatewayShares(read: () => readonly GatewayShareSample[]): void {
    this.gatewayShares.observe(read);
  }

  observeViolations(handle: (invariant: Invariant, detail: string) => void): Disposable {
    const previousHandler = setViolationHandler((invariant, detail) => {
      this.recordViolation(invariant);
      handle(invariant, detail);
    });
    return {
      dispose: () => {
        setViolationHandler(previousHandler);
      },
    };
  }

  render(): Promise<string> {
    return this.registry.metrics();
  }
}
