import { compareTerms, pickLaterMark, type Clock, type Mark } from "../model/index.js";
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

/** What this process knows of the ends of the logs of a group's targets. */
export class GroupPositions {
  private history: PositionHistory = emptyHistory;
  /** The newest end of its log that the current primary has reported. */
  private reportedEnd: ReportedEnd | undefined;
  private positionReadAt = -Infinity;
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
    const newest = findNewestMark(this.history);
    if (newest !== undefined && compareTerms(mark.term, newest.term) < 0) return;
    this.history = observePrimary(this.history, { status: { mark }, askedAt });
  }

  /** Finds the newest end of its log that a target has reported as the primary. */
  findReportedEnd(target: string): Mark | undefined {
    return this.reportedEnd?.target === target ? this.reportedEnd.mark : undefined;
  }

  /** Discards the newest end that the primary has reported, when it is replaced. */
  forgetReportedEnd(): void {
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
    this.history = emptyHistory;
    this.replicas.forgetAll();
  }

  /** Starts again with a primary that has lost a part of its log. */
  restart(): void {
    this.history = emptyHistory;
    this.reportedEnd = undefined;
  }
}
