import {
  compareMarkOrder,
  compareTerms,
  pickLaterMark,
  type Clock,
  type Mark,
} from "../model/index.js";
import {
  emptyHistory,
  findMarkSince,
  findNewestMark,
  observePrimary,
  type PositionHistory,
} from "../policy/index.js";
import { positionReadIntervalMs } from "./redirect.js";
import {
  ReplicaPositions,
  type Expectation,
  type Readiness,
  type ReplicaDelay,
  type ReplicaPositionsHandlers,
  type RequiredMark,
} from "./replica-positions.js";

/** The newest end of its log that a primary has reported. */
interface ReportedEnd {
  readonly target: string;
  readonly mark: Mark;
}

/** A position that one process tells another, and how old it is. */
export interface AgedPosition {
  readonly target: string;
  readonly mark: Mark;
  /** Since the target was asked for it, in milliseconds. */
  readonly ageMs: number;
}

/** The positions of a group that one process tells another. */
export interface SharedPositions {
  /** Absent where it knows none, or may not use the primary now. */
  readonly primary: AgedPosition | undefined;
  readonly replicas: readonly AgedPosition[];
}

/** A request for another process's positions. */
export interface PositionsRequest {
  /** When it was sent, on this process's clock, in milliseconds. */
  readonly askedAt: number;
  /** Changes when the process was suspended. */
  readonly epoch: number;
}

/** The newest position that this process got from the primary itself; `askedAt` is when it asked for it. */
interface OwnEnd {
  readonly target: string;
  readonly mark: Mark;
  readonly askedAt: number;
}

/** Positions are requested for this long after a read that requires one, in milliseconds. */
const requiredForMs = 1000;

/** What this process knows of the ends of the logs of a group's targets. */
export class GroupPositions {
  private history: PositionHistory = emptyHistory;
  /** The newest end of its log that the current primary has reported. */
  private reportedEnd: ReportedEnd | undefined;
  private ownEnd: OwnEnd | undefined;
  private positionReadAt = -Infinity;
  private requiredAt = -Infinity;
  /** The number of times that the positions were discarded, and when this happened last. */
  private epoch = 0;
  private forgottenAt = -Infinity;
  private readonly replicas: ReplicaPositions;

  constructor(
    private readonly clock: Clock,
    handlers: ReplicaPositionsHandlers,
  ) {
    this.replicas = new ReplicaPositions(handlers);
  }

  /** Records the end of the primary's log as reported in the answer to a command sent at `askedAt`. */
  notePrimaryMark(target: string, mark: Mark, askedAt: number): void {
    const reported = this.findReportedEnd(target);
    this.reportedEnd = {
      target,
      mark: reported === undefined ? mark : pickLaterMark(reported, mark),
    };
    // After a suspension, during which the clock may have stood still, an earlier date appears younger than it is.
    if (askedAt < this.forgottenAt) return;
    this.noteOwnEnd({ target, mark, askedAt });
    this.observe(mark, askedAt);
  }

  /** Records that a read requires a position. */
  noteRequired(): void {
    this.requiredAt = this.clock.now();
  }

  /** Whether a read has required a position recently. */
  get isRequired(): boolean {
    return this.clock.now() - this.requiredAt <= requiredForMs;
  }

  /** Starts a request for another process's positions. */
  startRequest(): PositionsRequest {
    return { askedAt: this.clock.now(), epoch: this.epoch };
  }

  /**
   * Lists the positions to tell another process. `primary` is the target that this process may use as the primary
   * now; undefined if there is none. Only what this primary has itself reported to this process is told.
   */
  share(primary: string | undefined): SharedPositions {
    const now = this.clock.now();
    const own = this.ownEnd?.target === primary ? this.ownEnd : undefined;
    return {
      primary: own && { target: own.target, mark: own.mark, ageMs: now - own.askedAt },
      replicas: this.replicas
        .list()
        .map(({ target, mark, reportedAt }) => ({ target, mark, ageMs: now - reportedAt })),
    };
  }

  /**
   * Applies another process's positions; `primary` is the target that this process may use as the primary now. They
   * are dated by when they were requested less their age, since the other process answered later than that: with a
   * date that is too late, a stale replica would count as fresh. They are dropped if this process was suspended since
   * the request, because its clock may have stood still.
   */
  applyShared(
    shared: SharedPositions,
    { askedAt, epoch }: PositionsRequest,
    primary: string | undefined,
  ): void {
    if (epoch !== this.epoch) return;
    if (shared.primary !== undefined && shared.primary.target === primary)
      this.observe(shared.primary.mark, askedAt - shared.primary.ageMs);
    for (const { target, mark, ageMs } of shared.replicas) {
      const at = askedAt - ageMs;
      this.replicas.record(target, { mark, askedAt: at, at }, this.history);
    }
  }

  /** Finds the newest end of its log that a target has reported as the primary. */
  findReportedEnd(target: string): Mark | undefined {
    return this.reportedEnd?.target === target ? this.reportedEnd.mark : undefined;
  }

  /** Discards the newest end that the primary has reported, when it is replaced. */
  forgetReportedEnd(): void {
    this.ownEnd = undefined;
    this.reportedEnd = undefined;
  }

  /** Finds a mark that covers every commit acknowledged before `time`; undefined if none is known. */
  findMarkSince(time: number): Mark | undefined {
    return findMarkSince(this.history, time);
  }

  /** Whether a read may go to the primary to learn the end of its log; false while another one does so. */
  beginPositionRead(): boolean {
    const now = this.clock.now();
    if (now - this.positionReadAt < positionReadIntervalMs) return false;
    this.positionReadAt = now;
    return true;
  }

  /** Records the end of a replica's log as reported in the answer to a command sent at `askedAt`. */
  noteReplicaMark(target: string, mark: Mark, askedAt: number): void {
    this.replicas.record(target, { mark, askedAt, at: this.clock.now() }, this.history);
  }

  /** Estimates when a replica has a position; undefined if nothing is known. `transitMs` is the way of a read to it. */
  assess(target: string, required: RequiredMark, transitMs: number): Readiness | undefined {
    return this.replicas.assess(target, required, this.history, this.clock.now(), transitMs);
  }

  /** Whether a replica is expected to have a position now. */
  findExpectation(target: string, mark: Mark): Expectation {
    const readiness = this.assess(target, { mark, since: this.clock.now() }, 0);
    if (readiness === undefined) return "unknown";
    return readiness.readyInMs > 0 ? "late" : "ready";
  }

  /** Applies a replica's refusal of a read because its log lacks a position. */
  noteRefused(target: string, mark: Mark): void {
    this.replicas.noteRefused(target, mark, this.history);
  }

  /** Starts a read that tries a replica which is expected to lag. Returns the function that ends it. */
  beginProbe(target: string): () => void {
    return this.replicas.beginProbe(target, this.clock.now());
  }

  /** Lists the estimated replication delays. */
  listDelays(): readonly ReplicaDelay[] {
    return this.replicas
      .list()
      .flatMap(({ target, delayMs }) => (delayMs === undefined ? [] : [{ target, delayMs }]));
  }

  /** Discards what is known of a replica whose process has been replaced or that was removed. */
  forgetReplica(target: string): void {
    this.replicas.forget(target);
  }

  /** Discards the known positions. Called when the process was suspended for an unknown time. */
  forgetMarks(): void {
    this.epoch += 1;
    this.forgottenAt = this.clock.now();
    this.ownEnd = undefined;
    this.history = emptyHistory;
    this.replicas.forgetAll();
  }

  /** Starts again with a primary that has lost a part of its log. */
  restart(): void {
    this.epoch += 1;
    this.history = emptyHistory;
    this.ownEnd = undefined;
    this.reportedEnd = undefined;
  }

  /** Keeps what may be told to others. */
  private noteOwnEnd(end: OwnEnd): void {
    const { ownEnd } = this;
    const order = ownEnd?.target === end.target ? compareMarkOrder(end.mark, ownEnd.mark) : 1;
    if (ownEnd !== undefined && (order < 0 || end.askedAt < ownEnd.askedAt)) return;
    this.ownEnd = end;
  }

  private observe(mark: Mark, askedAt: number): void {
    const newest = findNewestMark(this.history);
    if (newest !== undefined && compareTerms(mark.term, newest.term) < 0) return;
    this.history = observePrimary(this.history, { status: { mark }, askedAt });
  }
}
