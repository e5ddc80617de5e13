import { directEvents } from "../log/events/direct.js";
import { SlotQueue, TargetPool, type AcquireResult, type SlotResult } from "../capacity/index.js";
import type { AdmissionRequest } from "../controller/admission/index.js";
import { DisposableStore, type Disposable, type Mark, type Target } from "../model/index.js";
import type { CandidateTarget } from "./candidates.js";
import { CrossingTimes } from "./crossing.js";
import { GroupPositions } from "./group-positions.js";
import { HealthTable } from "./health-table.js";
import { IdleTransactions } from "./idle-transactions.js";
import { checkTimeoutMs, createPoolOptions } from "./pool-options.js";
import type { DirectPorts } from "./ports.js";
import type { RequiredMark } from "./replica-positions.js";
import { longHoldMs, type SlotHold } from "./slot-hold.js";
import { TrackedLink } from "./tracked-link.js";
import type { TargetLink } from "../statement/index.js";
import type { Distance } from "../topology/index.js";
import type { AnnouncedGroup, AnnouncedTarget } from "./serving-config.js";
import { hasLostLog, hasRestarted, LostLogError } from "./restart.js";
import { computeShare, hasSameShare, minShare, type ConnectionShare } from "./share.js";

/** The result of acquiring a connection for one statement or transaction. */
export type ConnectionResult = AcquireResult<TrackedLink>;

/** Limits of the wait for a connection. Times are on the proxy's clock, in milliseconds. */
export interface ConnectionWaitLimits {
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/** A statement that has waited this long for a connection needs one of an idle transaction, in milliseconds. */
const starvedAfterMs = 100;

/** This proxy's slots, connections, health records and log positions for a group's targets. */
export class DirectGroup implements Disposable {
  readonly slots: SlotQueue;
  /** Transactions that hold a connection without a slot. */
  readonly idle: IdleTransactions;
  /** What is known of the ends of the targets' logs. */
  readonly positions: GroupPositions;
  private readonly disposables = new DisposableStore();
  private readonly pools = new Map<string, TargetPool<TrackedLink>>();
  private readonly health: HealthTable;
  private readonly runningCounts = new Map<string, number>();
  private targets = new Map<string, AnnouncedTarget>();
  private isPlanned = false;
  private readonly shares = new Map<string, ConnectionShare>();
  private readonly crossingTimes: CrossingTimes;

  constructor(
    private group: AnnouncedGroup,
    private readonly ports: DirectPorts,
  ) {
    this.slots = this.disposables.add(
      new SlotQueue(ports.clock, (wait) => ports.onSlotWait?.(this.name, wait)),
    );
    this.crossingTimes = new CrossingTimes(() => ports.clock.now());
    this.health = new HealthTable(ports.clock);
    this.idle = this.disposables.add(
      new IdleTransactions(ports.clock, (target) => this.countWaitingForConnection(target)),
    );
    this.positions = new GroupPositions(ports.clock, {
      onStalledChange: (target, isStalled) => {
        const event = isStalled ? directEvents.replicaStalled : directEvents.replicaRecovered;
        ports.logger.write(event, { group: this.name, target });
      },
    });
    this.update(group);
  }

  get name(): string {
    return this.group.name;
  }

  /** Whether transactions hold slots only while one of their statements runs. Kept, as it is read often. */
  get isSlotPlanned(): boolean {
    return this.isPlanned;
  }

  /** Applies the platform's latest list of the group's targets. */
  update(group: AnnouncedGroup): void {
    this.group = group;
    this.isPlanned = this.ports.isSlotPlanned();
    const before = this.targets;
    this.targets = new Map(group.targets.map((t) => [t.name, t]));
    for (const target of group.targets) {
      if (hasRestarted(before.get(target.name), target)) this.forgetTarget(target.name);
      this.updateTarget(target);
    }
    for (const name of before.keys()) if (!this.targets.has(name)) this.removeTarget(name);
  }

  /** Applies changes of this proxy's share of the targets, as gateways are lost or come back. */
  refreshShares(): void {
    for (const target of this.targets.values()) {
      const share = this.computeShare(target);
      if (hasSameShare(share, this.findShare(target.name))) continue;
      const { slots } = share;
      const fields = { group: this.name, target: target.name, slots };
      this.ports.logger.write(directEvents.shareChanged, fields);
      this.updateTarget(target);
    }
  }

  /** Lists the targets for the placement of a team's statement, which may require a position of a replica. */
  listCandidates(team: string, required?: RequiredMark): readonly CandidateTarget[] {
    return [...this.targets.values()].map((target) => ({
      name: target.name,
      isLeaving: target.isLeaving === true,
      hasDrained: this.ports.hasDrained(target.name),
      isLocal: target.dataCentre === this.ports.dataCentre,
      distance: this.measureDistance(target),
      health: this.health.find(target.name),
      running: this.countRunning(target.name),
      hasIdle: this.hasIdleConnection(target.name, team),
      slots: this.findShare(target.name).slots,
      occupiedSlots: this.findShare(target.name).slots - this.slots.countFree(target.name),
      ...this.assessReadiness(target.name, required),
    }));
  }

  /** The target that this process may use as the primary now. The query notices that the process was suspended. */
  findPrimary(): string | undefined {
    const primary = this.ports.primaries.find(this.name);
    return primary.type === "serving" ? primary.target : undefined;
  }

  /** Whether the platform lists a target of this name. */
  hasTarget(target: string): boolean {
    return this.targets.has(target);
  }

  /** Whether a target is in another region than this proxy. */
  isRemote(target: string): boolean {
    const listed = this.targets.get(target);
    return listed !== undefined && this.measureDistance(listed) === "remote";
  }

  /** Estimates the round trip to the nearest of some targets in other regions, in milliseconds. */
  estimateCrossingMs(targets: readonly string[]): number {
    return this.crossingTimes.estimateMs(targets);
  }

  /** Records how long a target took to answer a statement. */
  noteResponseTime(target: string, ms: number): void {
    if (this.isRemote(target)) this.crossingTimes.record(target, ms);
  }

  /** Waits for a slot. The holder counts what it runs with `noteStart` and `noteEnd`. */
  acquire(request: AdmissionRequest, signal: AbortSignal): Promise<SlotResult> {
    return this.slots.acquire(request, signal);
  }

  /**
   * Refuses statements that wait for a replaced primary, so that they are placed again. The slots of an
   * unreachable primary are freed only as its statements time out after 0.8 s; statements queued behind them
   * would be refused without having been sent.
   */
  evict(target: string): void {
    this.positions.forgetReportedEnd();
    this.slots.evict(target);
  }

  /**
   * Whether any statement waits for what an idle transaction holds at this target. Where slots are planned,
   * `idle` ends as many transactions as statements wait; this would end all that are idle.
   */
  hasWaitersFor(target: string): boolean {
    return !this.isSlotPlanned && this.slots.countWaitingOnlyFor(target) > 0;
  }

  /** Whether a connection that serves the team is idle in its pool. */
  hasIdleConnection(target: string, team: string): boolean {
    return this.pools.get(target)?.hasIdle(team) === true;
  }

  /** Waits for a connection that serves the team; the empty name stands for anonymous callers. */
  takeConnection(
    target: string,
    team: string,
    { deadlineAt, signal }: ConnectionWaitLimits,
  ): Promise<ConnectionResult> {
    const listed = this.targets.get(target);
    if (listed !== undefined && !this.pools.has(target)) this.addPool(listed);
    const pool = this.pools.get(target);
    if (pool === undefined) {
      return Promise.resolve({ type: "refused", reason: "noConnection", retryAfterMs: 0 });
    }
    return pool.acquire(deadlineAt, signal, team);
  }

  noteStart(target: string): void {
    this.runningCounts.set(target, (this.runningCounts.get(target) ?? 0) + 1);
  }

  noteEnd(target: string): void {
    this.runningCounts.set(target, Math.max(0, (this.runningCounts.get(target) ?? 0) - 1));
  }

  /** Logs what a slot was held for, if that was long. */
  noteSlotHold(target: string, hold: SlotHold): void {
    const { clock, logger } = this.ports;
    const now = clock.now();
    if (hold.measureMs(now) < longHoldMs) return;
    logger.write(directEvents.slotHeld, { group: this.name, target, ...hold.describe(now) });
  }

  noteAnswer(target: string): void {
    this.health.noteAnswer(target);
  }

  /** Records that a target had no free slot. */
  noteSaturated(target: string): void {
    this.pools.get(target)?.noteSaturated();
    this.health.noteSaturated(target);
  }

  noteFailure(target: string): void {
    this.health.noteFailure(target);
  }

  noteLagging(target: string): void {
    this.health.noteLagging(target);
  }

  /** Records the end of the primary's log as reported in the answer to a command sent at `askedAt`. */
  notePrimaryMark(target: string, mark: Mark, askedAt: number): void {
    this.positions.notePrimaryMark(target, mark, askedAt);
  }

  /** Finds a mark that covers every commit acknowledged before `time`; undefined if none is known. */
  findMarkSince(time: number): Mark | undefined {
    return this.positions.findMarkSince(time);
  }

  /** Whether a read may go to the primary to learn the end of its log; false while another one does so. */
  beginPositionRead(): boolean {
    return this.positions.beginPositionRead();
  }

  /** Discards the known log positions. Called when the process was suspended for an unknown time. */
  forgetMarks(): void {
    this.positions.forgetMarks();
  }

  dispose(): Promise<void> {
    for (const pool of this.pools.values()) pool.dispose();
    return this.disposables.dispose();
  }

  private measureDistance({ dataCentre }: AnnouncedTarget): Distance {
    return this.ports.topology.measureDistance(this.ports.dataCentre, dataCentre);
  }

  /** Estimates when a replica has the position that a statement requires; empty where nothing is known. */
  private assessReadiness(
    target: string,
    required: RequiredMark | undefined,
  ): Pick<CandidateTarget, "readiness"> {
    if (required === undefined || !this.isSlotPlanned || this.isPrimary({ name: target }))
      return {};
    const transitMs = this.isRemote(target) ? this.estimateCrossingMs([target]) / 2 : 0;
    const readiness = this.positions.assess(target, required, transitMs);
    return readiness === undefined ? {} : { readiness };
  }

  /** Counts the requests that a connection of an idle transaction would serve. */
  private countWaitingForConnection(target: string): number {
    const pool = this.pools.get(target);
    return this.slots.countWaitingForConnection(target) + (pool?.countStarved(starvedAfterMs) ?? 0);
  }

  /** Counts what runs at a target. With all connections taken by idle transactions it counts as full. */
  private countRunning(target: string): number {
    const running = this.runningCounts.get(target) ?? 0;
    if (!this.isSlotPlanned || this.slots.countFree(target) > 0) return running;
    return Math.max(running, this.findShare(target).slots);
  }

  private findShare(target: string): ConnectionShare {
    return this.shares.get(target) ?? minShare;
  }

  private updateTarget(target: AnnouncedTarget): void {
    const isLeaving = target.isLeaving === true;
    const holding = this.ports.findShareRule(this.name, target.dataCentre);
    const share = this.computeShare(target);
    this.shares.set(target.name, share);
    const pool = this.pools.get(target.name);
    pool?.resize(share.base + share.max, share.max);
    if (holding.type === "none") this.closePool(target.name);
    else if (pool === undefined && !isLeaving) this.addPool(target);
    const connections = this.isSlotPlanned ? share.max : Infinity;
    this.slots.resize(target.name, target.announcedRole, share.slots, undefined, connections);
  }

  private computeShare(target: AnnouncedTarget): ConnectionShare {
    const rule = this.ports.findShareRule(this.name, target.dataCentre);
    return computeShare(this.group.connections, target, rule, this.isSlotPlanned);
  }

  /** Drains and removes a target's pool; the next request for a connection creates a new one. */
  private closePool(target: string): void {
    this.pools.get(target)?.drain();
    this.pools.delete(target);
  }

  private addPool(target: Target): void {
    const { dialer, clock } = this.ports;
    const ports = {
      open: (timeoutMs: number, team: string) => this.openLink(target, timeoutMs, team),
      check: (link: TrackedLink) => link.check(checkTimeoutMs),
      isTooManyConnections: (error: unknown) => dialer.isTooManyConnections(error),
    };
    const options = createPoolOptions(this.findShare(target.name), clock.now());
    this.pools.set(target.name, new TargetPool(ports, clock, options));
  }

  /** Opens a connection. A failure counts against the target's health unless its connection limit was reached. */
  private async openLink(target: Target, timeoutMs: number, team: string): Promise<TrackedLink> {
    const { dialer, primaries, clock } = this.ports;
    const askedAt = clock.now();
    const reported = this.positions.findReportedEnd(target.name);
    const wasPrimary = this.isPrimary(target);
    try {
      const link = await dialer.open(this.name, target, timeoutMs, team || undefined);
      // The log of a target that was promoted meanwhile may have lacked commits that its predecessor acknowledged.
      const datedAt = wasPrimary ? askedAt : undefined;
      if (this.isPrimary(target)) this.checkOpenedLog(target, link, reported, datedAt);
      else if (this.isSlotPlanned && this.hasTarget(target.name) && link.openedAt !== undefined)
        this.positions.noteReplicaMark(target.name, link.openedAt, askedAt);
      return new TrackedLink(link);
    } catch (error) {
      if (!dialer.isTooManyConnections(error)) {
        this.noteFailure(target.name);
        if (this.isPrimary(target)) primaries.noteContact(this.name, target.name, false);
      }
      throw error;
    }
  }

  /**
   * Records the end of the primary's log that it reported when a connection was opened. It is as good as an
   * answer, so that reads right after a start need not all go to the primary first. `reported` is the newest
   * end that the primary had reported when the opening began. The position is recorded only with `askedAt`.
   *
   * A primary that restarted under the same name may have lost commits that it had acknowledged. It would
   * still answer plain reads, and callers would miss their own commits. Checking each new connection suffices,
   * because the connections to the previous process are closed. The check uses only positions reported by this
   * primary itself: a newly promoted one may begin before the end of its predecessor's log, without commits
   * that reached no replica. Comparing these would cause a second change of primary right after the first.
   */
  private checkOpenedLog(
    { name }: Target,
    link: TargetLink,
    reported: Mark | undefined,
    askedAt: number | undefined,
  ): void {
    const { openedAt } = link;
    if (hasLostLog(reported, openedAt)) {
      this.ports.primaries.noteLostLog(this.name, name);
      if (!this.isPrimary({ name })) {
        link.close();
        throw new LostLogError(`target ${name} lacks commits that it had acknowledged`);
      }
      // It stays the primary because no other target runs, so its log is tracked from this position.
      this.positions.restart();
    }
    if (openedAt !== undefined && askedAt !== undefined)
      this.notePrimaryMark(name, openedAt, askedAt);
  }

  private isPrimary({ name }: Pick<Target, "name">): boolean {
    return this.findPrimary() === name;
  }

  private removeTarget(name: string): void {
    this.forgetTarget(name);
    this.shares.delete(name);
    this.crossingTimes.forget(name);
    this.slots.resize(name, "replica", 0);
  }

  /**
   * Discards the pool and health of a target whose process has been replaced or that was removed. Running
   * statements keep their slots until their connections end. Marks are kept, because a replica checks with each
   * read that its log contains the required one.
   */
  private forgetTarget(name: string): void {
    this.closePool(name);
    this.health.forget(name);
    this.positions.forgetReplica(name);
  }
}
