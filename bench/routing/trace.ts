import type { TargetView, Term } from "../../src/model/index.js";
import { firstTerm } from "../../src/model/index.js";
import { Agenda } from "../admission/agenda.js";
import { createRandom, type BenchRandom } from "../admission/random.js";

/** A replica of the trace: when each record reached it, and what the owner knows of it. */
export interface TracedReplica {
  readonly name: string;
  /** `arrivals[i]` is when record `i + 1` arrived. */
  readonly arrivals: number[];
  held: number;
}

/** Who hears of what happens in a trace. */
export interface TraceListener {
  onPrimaryReport(view: TargetView): void;
  onReplicaReport(replica: TracedReplica, view: TargetView): void;
  onRead(session: number, mark: number): void;
}

const sessions = 200;
const thinkMs = 200;
const writeShare = 0.1;
const hopMs = 0.5;
/** A status request waits this long for a change. */
const reportWaitMs = 50;
const term: Term = { round: 1, vm: "vm-1" };
const lineage = [
  { term: firstTerm, start: 0 },
  { term, start: 0 },
];

/** Sessions that write and read, and replicas that follow with a lag, in virtual time. */
export class Trace {
  readonly agenda = new Agenda();
  readonly replicas: readonly TracedReplica[] = ["r1", "r2"].map((name) => ({
    name,
    arrivals: [],
    held: 0,
  }));
  readonly writtenAt: number[] = [];
  private readonly random: BenchRandom;
  private readonly marks = new Map<number, number>();

  constructor(
    private readonly lagMs: number,
    seed: number,
    private readonly listener: TraceListener,
  ) {
    this.random = createRandom(seed);
    for (let session = 0; session < sessions; session++) this.think(session);
    this.report(
      "p",
      () => this.writtenAt.length,
      (view) => this.listener.onPrimaryReport(view),
    );
    for (const replica of this.replicas) {
      const tell = (view: TargetView) => this.listener.onReplicaReport(replica, view);
      this.report(replica.name, () => replica.held, tell);
    }
  }

  private think(session: number): void {
    this.agenda.add(this.agenda.now + this.random.drawExponential(thinkMs), () => {
      if (this.random.draw() < writeShare) this.write(session);
      else this.listener.onRead(session, this.marks.get(session) ?? 0);
      this.think(session);
    });
  }

  /** A replica's lag varies by half around the mean, and records arrive in order. */
  private write(session: number): void {
    const now = this.agenda.now;
    this.writtenAt.push(now);
    this.marks.set(session, this.writtenAt.length);
    for (const replica of this.replicas) {
      const lag = this.lagMs * (0.5 + this.random.draw());
      const at = Math.max(now + lag, replica.arrivals.at(-1) ?? 0);
      replica.arrivals.push(at);
      this.agenda.add(at, () => (replica.held += 1));
    }
  }

  /** One status request after the other: each is answered on a change, or after a while. */
  private report(target: string, getOffset: () => number, tell: (view: TargetView) => void): void {
    const ask = (known: number) => {
      const askedAt = this.agenda.now;
      const look = () => {
        const offset = getOffset();
        const isOver = this.agenda.now - askedAt >= reportWaitMs;
        if (offset === known && !isOver) this.agenda.add(this.agenda.now + hopMs, look);
        else this.agenda.add(this.agenda.now + hopMs, () => answer(offset, askedAt));
      };
      this.agenda.add(askedAt + hopMs, look);
    };
    const answer = (offset: number, askedAt: number) => {
      const role = target === "p" ? "primary" : "replica";
      const status = { target, role, mark: { term, offset }, lineage, fencedAt: term } as const;
      tell({ status, askedAt, answeredAt: this.agenda.now, missedProbes: 0 });
      ask(offset);
    };
    ask(-1);
  }
}

/** The mark of an offset in the trace's one term. */
export function makeMark(offset: number) {
  return { term, offset };
}

/** The lineage of every log in the trace. */
export function getLineage() {
  return lineage;
}
