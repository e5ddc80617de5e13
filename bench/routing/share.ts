import type { Route } from "../../src/model/index.js";
import {
  emptyHistory,
  observePrimary,
  observeReplica,
  routeRead,
  type PositionHistory,
  type ReplicationProgress,
  type ReadTarget,
} from "../../src/policy/index.js";
import { getLineage, makeMark, Trace, type TracedReplica } from "./trace.js";

/** The share of reads that replicas served, beside that of a router which knows all. */
export interface ShareFigures {
  readonly lagMs: number;
  readonly route: Route;
  readonly patienceMs: number;
  readonly reads: number;
  readonly share: number;
  readonly knowingShare: number;
  /** Mean wait for a replica, over all reads. */
  readonly meanWaitMs: number;
  /** Reads that were served without what the session or the rule wants; must be 0. */
  readonly wrong: number;
}

interface Read {
  readonly mark: number;
  readonly at: number;
  readonly knowing: boolean;
}

const warmUpMs = 12_000;
const endMs = 42_000;

/** Routes the reads of one trace and compares. */
export function measureShare(
  lagMs: number,
  route: Route,
  patienceMs: number,
  seed: number,
): ShareFigures {
  const router = new TracedRouter(lagMs, route, patienceMs, seed);
  return router.run();
}

class TracedRouter {
  private history: PositionHistory = emptyHistory;
  private readonly reported = new Map<
    string,
    { readonly offset: number; progress?: ReplicationProgress }
  >();
  private readonly trace: Trace;
  private waiting = new Set<Read>();
  private reads = 0;
  private served = 0;
  private knowing = 0;
  private waited = 0;
  private wrong = 0;

  constructor(
    private readonly lagMs: number,
    private readonly route: Route,
    private readonly patienceMs: number,
    seed: number,
  ) {
    this.trace = new Trace(lagMs, seed, {
      onPrimaryReport: (view) => (this.history = observePrimary(this.history, view)),
      onReplicaReport: (replica, view) => {
        const before = this.reported.get(replica.name)?.progress;
        const progress = observeReplica(before, view, this.history);
        this.reported.set(replica.name, { offset: view.status.mark.offset, progress });
        this.retry();
      },
      onRead: (_, mark) => this.begin(mark),
    });
  }

  run(): ShareFigures {
    this.trace.agenda.run(endMs);
    return {
      lagMs: this.lagMs,
      route: this.route,
      patienceMs: this.patienceMs,
      reads: this.reads,
      share: this.served / this.reads,
      knowingShare: this.knowing / this.reads,
      meanWaitMs: this.waited / this.reads,
      wrong: this.wrong,
    };
  }

  private begin(mark: number): void {
    const at = this.trace.agenda.now;
    if (at < warmUpMs) return;
    const knowing = this.trace.replicas.some((r) => this.isKnownGood(r, mark, at));
    this.choose({ mark, at, knowing });
  }

  private choose(read: Read): void {
    const now = this.trace.agenda.now;
    const left = Math.max(0, read.at + this.patienceMs - now);
    const decision = routeRead(
      {
        route: this.route,
        ...(read.mark > 0 && { mark: makeMark(read.mark) }),
        timeLeftMs: 5000,
        maxReplicaWaitMs: left,
      },
      { now, targets: this.listTargets(), history: this.history },
    );
    this.waiting.delete(read);
    if (decision.type === "wait") {
      this.waiting.add(read);
      this.trace.agenda.add(read.at + this.patienceMs, () => {
        if (this.waiting.has(read)) this.choose(read);
      });
      return;
    }
    this.reads += 1;
    this.waited += now - read.at;
    if (read.knowing) this.knowing += 1;
    if (decision.type !== "replica") return;
    this.served += 1;
    if (decision.targets.some((name) => !this.isGood(name, read.mark, now))) this.wrong += 1;
  }

  private retry(): void {
    for (const read of [...this.waiting]) this.choose(read);
  }

  private listTargets(): readonly ReadTarget[] {
    const primary = makeTarget("p", "primary", this.trace.writtenAt.length);
    const replicas = this.trace.replicas.map(({ name }) => {
      const { offset = 0, progress } = this.reported.get(name) ?? {};
      const target = makeTarget(name, "replica", offset);
      return progress === undefined ? target : { ...target, progress };
    });
    return [primary, ...replicas];
  }

  /** What a router would choose that knows every position, now and as far as patience reaches. */
  private isKnownGood(replica: TracedReplica, mark: number, now: number): boolean {
    const arrival = mark === 0 ? 0 : (replica.arrivals[mark - 1] ?? Infinity);
    return arrival <= now + this.patienceMs && this.isYoung(replica, now);
  }

  private isGood(name: string, mark: number, now: number): boolean {
    const replica = this.trace.replicas.find((r) => r.name === name);
    return replica !== undefined && replica.held >= mark && this.isYoung(replica, now);
  }

  private isYoung(replica: TracedReplica, now: number): boolean {
    if (this.route.type !== "stale") return true;
    const lackedSince = this.trace.writtenAt[replica.held] ?? now;
    return now - lackedSince <= this.route.maxAgeMs;
  }
}

function makeTarget(name: string, role: ReadTarget["role"], offset: number): ReadTarget {
  const status = { mark: makeMark(offset), lineage: getLineage() };
  return { name, role, state: "serving", status, freeSlots: 1, queueMs: 0 };
}
