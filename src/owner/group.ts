import { SlotQueue, type SlotResult } from "../capacity/index.js";
import { findMajorityConfirmedAt, GroupWatch } from "../groupwatch/index.js";
import { ownerEvents } from "../log/events/owner.js";
import {
  compareTerms,
  DisposableStore,
  type Disposable,
  type Group,
  type GroupView,
  type Request,
  type Target,
  type Term,
} from "../model/index.js";
import { routeRead, type ReadRoute } from "../policy/index.js";
import { WatchConfirmer } from "./confirmer.js";
import { createPgPool, type PgAcquireResult, type PgPool } from "./connections.js";
import { PrimaryExpectation } from "./expectation.js";
import type { AttemptGroup } from "./filters/attempt.js";
import type { ConnectingGroup } from "./filters/connect.js";
import type { OpeningGroup } from "./filters/open.js";
import type { PlacingGroup } from "./filters/place.js";
import { RetryFilter } from "./filters/retry.js";
import type { OwnerPorts } from "./ports.js";
import { findTargetState, RoutingTracker } from "./routing.js";

/** The time in which a lost primary is expected to have a successor, in milliseconds. */
const expectedOutageMs = 1000;

const primaryRecheckMs = 250;

/** How long open transactions may keep the primary role on a leaving target, in milliseconds. */
const transactionGraceMs = 2000;

/** One group that this process serves, with its watch, its admission queue and its connections. */
export class ServedGroup
  implements OpeningGroup, PlacingGroup, ConnectingGroup, AttemptGroup, Disposable
{
  readonly watch: GroupWatch;
  readonly confirmer: WatchConfirmer;
  readonly retry: RetryFilter;
  private readonly disposables = new DisposableStore();
  private readonly slots: SlotQueue;
  private readonly pools = new Map<string, PgPool>();
  private readonly routing: RoutingTracker;
  private readonly appliedSizes = new Map<string, string>();
  private readonly waitingForPrimary = new Set<string>();
  private readonly openTransactions = new Map<string, number>();
  private lastPrimary: string | undefined;
  private readonly expectation: PrimaryExpectation;

  constructor(
    private group: Group,
    readonly ports: OwnerPorts,
  ) {
    const { clock, random, logger, hooks } = ports;
    this.slots = this.disposables.add(new SlotQueue(clock));
    this.routing = new RoutingTracker(group, findMajorityConfirmedAt);
    this.watch = this.disposables.add(
      new GroupWatch({
        group,
        vm: ports.vm,
        control: ports.control,
        peers: ports.peers,
        clock,
        random,
        log: logger,
        listCheckerVms: ports.listCheckerVms,
        onGap: (gapMs, phases) => {
          hooks.onFailover(group.name, gapMs, phases);
        },
      }),
    );
    this.confirmer = new WatchConfirmer(this.watch, (signal) => this.waitForPrimary(signal));
    this.retry = new RetryFilter(clock, random, logger);
    for (const target of group.targets) this.addPool(target);
    this.expectation = this.disposables.add(
      new PrimaryExpectation(clock, () => {
        this.observe(this.watch.getView());
      }),
    );
    this.disposables.add(
      this.watch.subscribe((view) => {
        this.observe(view);
      }),
    );
  }

  get name(): string {
    return this.group.name;
  }

  start(): void {
    this.expectation.startOpening();
    this.ports.logger.write(ownerEvents.groupOpened, { group: this.name });
    this.observe(this.watch.getView());
    this.watch.start();
  }

  /** Applies the platform's latest list of the group's targets, with those that are leaving. */
  setGroup(group: Group): void {
    const notLeavingBefore = this.group.targets
      .filter((t) => t.isLeaving !== true)
      .map((t) => t.name);
    this.group = group;
    this.routing.setGroup(group);
    this.observe(this.watch.getView());
    for (const { name, isLeaving } of group.targets) {
      if (isLeaving === true && notLeavingBefore.includes(name)) this.pools.get(name)?.drain();
    }
    this.requestSwitchoverIfLeaving();
  }

  /**
   * Requests a switchover from a leaving primary once its open transactions have ended or their grace
   * period is over. Must be called repeatedly until then.
   */
  requestSwitchoverIfLeaving(): void {
    const { primary } = this.getView();
    if (primary === undefined || !this.isLeaving(primary.target) || this.watch.isSwitchingOver)
      return;
    const isInGracePeriod = this.expectation.measureOutageMs() < transactionGraceMs;
    const isBusy = (this.openTransactions.get(primary.target) ?? 0) > 0;
    if (!isBusy || !isInGracePeriod) this.watch.requestSwitchover(primary.target);
  }

  isLeaving(target: string): boolean {
    return this.findTarget(target).isLeaving === true;
  }

  /** Adds `change` to the count of open transactions on a target. */
  adjustTransactionCount(target: string, change: number): void {
    this.openTransactions.set(target, (this.openTransactions.get(target) ?? 0) + change);
    if (this.isLeaving(target)) this.requestSwitchoverIfLeaving();
  }

  async dispose(): Promise<void> {
    await this.disposables.dispose();
    this.ports.logger.write(ownerEvents.groupClosed, { group: this.name });
  }

  getView(): GroupView {
    return this.watch.getView();
  }

  route(request: Request, patienceMs: number): ReadRoute {
    const { clock } = this.ports;
    const now = clock.now();
    const profile = {
      team: request.traits.team,
      plan: request.traits.plan,
      priority: request.action.priority,
    };
    const queue = {
      countFree: (target: string) => this.slots.countFree(target),
      estimateWaitMs: (target: string) =>
        this.slots.estimateWaitMs({ ...profile, candidates: [target] }),
    };
    const demand = {
      route: request.action.route,
      timeLeftMs: request.deadlineAt - now,
      maxReplicaWaitMs: patienceMs,
      ...(request.mark === undefined ? {} : { mark: request.mark }),
    };
    return routeRead(demand, this.routing.buildReadScene(this.getView(), queue, now));
  }

  findWriteTarget(): string | undefined {
    return this.getView().primary?.target ?? this.lastPrimary;
  }

  async acquireSlot(
    request: Request,
    candidates: readonly string[],
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const { traits, action, id, deadlineAt } = request;
    const { clock, hooks } = this.ports;
    const startedAt = clock.now();
    const isForPrimary = candidates.length === 1 && candidates[0] === this.findWriteTarget();
    if (isForPrimary) this.waitingForPrimary.add(id);
    const admissionRequest = {
      id,
      team: traits.team,
      plan: traits.plan,
      priority: action.priority,
      candidates,
      deadlineAt,
      maxQueueMs: action.maxQueueMs,
    };
    const result = await this.slots.acquire(admissionRequest, signal);
    this.waitingForPrimary.delete(id);
    hooks.onQueueWait(request, clock.now() - startedAt);
    return result;
  }

  waitForChange(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const stopped = new AbortController();
      const stop = () => {
        void subscription.dispose();
        signal.removeEventListener("abort", stop);
        stopped.abort();
        resolve();
      };
      const subscription = this.watch.subscribe(stop);
      signal.addEventListener("abort", stop, { once: true });
      void this.ports.clock.sleep(ms, stopped.signal).then(stop, () => undefined);
    });
  }

  async refreshMark(target: string): Promise<void> {
    await this.watch.readMark(target);
  }

  hasHadPrimary(): boolean {
    return this.lastPrimary !== undefined;
  }

  async waitForPrimary(signal: AbortSignal): Promise<void> {
    while (
      this.getView().primary === undefined &&
      this.expectation.isPrimaryExpected() &&
      !signal.aborted
    ) {
      await this.waitForChange(primaryRecheckMs, signal);
    }
  }

  acquireConnection(
    target: string,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<PgAcquireResult> {
    const pool = this.pools.get(target);
    if (pool === undefined) throw new Error(`${target} is not a target of group ${this.name}`);
    return pool.acquire(deadlineAt, signal);
  }

  describeTarget(target: string): ReturnType<ConnectingGroup["describeTarget"]> {
    const { primary } = this.getView();
    const isPrimary = primary?.target === target;
    return {
      target: this.findTarget(target),
      role: isPrimary ? "primary" : "replica",
      term: isPrimary ? primary.term : undefined,
    };
  }

  watchTerm(term: Term, listener: () => void): Disposable {
    return this.watch.subscribe(({ primary }) => {
      if (primary === undefined || compareTerms(primary.term, term) !== 0) listener();
    });
  }

  reportConnectionFailure(target: string): void {
    this.watch.reportConnectionFailure(target);
  }

  /** Counts the requests that wait for a slot. */
  countQueued(): number {
    const { waiting } = this.slots.summarise();
    return Object.values(waiting).reduce((sum, count) => sum + count, 0);
  }

  listTargets(): readonly string[] {
    return this.group.targets.map((t) => t.name);
  }

  /** Counts the connections of all targets by state, for metrics. */
  countConnections(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const pool of this.pools.values()) {
      for (const [state, count] of pool.countByState()) {
        counts.set(state, (counts.get(state) ?? 0) + count);
      }
    }
    return counts;
  }

  private addPool(target: Target): void {
    const { connector, clock } = this.ports;
    const pool = createPgPool(target, this.group.name, connector, clock);
    this.pools.set(target.name, this.disposables.add(pool));
  }

  private findTarget(name: string): Target {
    const target = this.group.targets.find((t) => t.name === name);
    if (target === undefined) throw new Error(`${name} is not a target of group ${this.name}`);
    return target;
  }

  private observe(view: GroupView): void {
    this.routing.observe(view);
    this.updateExpectation(view);
    const { primary } = view;
    if (primary !== undefined && primary.target !== this.lastPrimary) {
      this.redirectWaitingWrites(primary.target, view);
    }
    for (const target of this.group.targets) this.resizeSlots(target, view);
  }

  /**
   * Makes writes that wait for a slot of the previous primary wait for one of the new primary. The new
   * primary's slots are set first, since the queue immediately refuses requests for a target without slots.
   */
  private redirectWaitingWrites(name: string, view: GroupView): void {
    this.lastPrimary = name;
    this.resizeSlots(this.findTarget(name), view);
    for (const id of this.waitingForPrimary) this.slots.retarget(id, [name]);
  }

  /** A primary that takes no new work, since it is unreachable or leaving, counts as lost. */
  private updateExpectation({ primary, targets }: GroupView): void {
    const seen = primary && targets[primary.target];
    const target = primary && this.findTarget(primary.target);
    const isServing = target !== undefined && findTargetState(target, seen) === "serving";
    this.expectation.observe(isServing || this.lastPrimary === undefined);
  }

  /** Passes only changes to the queue, since a view arrives with every log position that a target reports. */
  private resizeSlots(target: Target, view: GroupView): void {
    const state = findTargetState(target, view.targets[target.name]);
    const isPrimary = view.primary?.target === target.name;
    const isAwaited = target.name === this.lastPrimary && (!isPrimary || state !== "serving");
    const isServing = state === "serving" && !isAwaited;
    const role = isPrimary || isAwaited ? "primary" : "replica";
    const slots = isServing ? target.slots : 0;
    const isDue = isAwaited && this.expectation.isPrimaryExpected();
    const size = `${role} ${slots} ${String(isDue)}`;
    if (this.appliedSizes.get(target.name) === size) return;
    this.appliedSizes.set(target.name, size);
    this.slots.resize(target.name, role, slots, isDue ? expectedOutageMs : undefined);
  }
}
