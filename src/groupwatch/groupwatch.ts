import {
  defaultTimings,
  type FailoverState,
  type FailoverTimings,
  getLatenessTolerance,
  isCutOff,
  isSuperseded,
} from "../controller/failover/index.js";
import { failoverEvents } from "../log/events/failover.js";
import {
  type Acknowledgement,
  compareTerms,
  type Disposable,
  DisposableStore,
  type GroupView,
  type Mark,
  type Target,
  type Term,
} from "../model/index.js";
import { FreshStatusClient } from "./freshstatus.js";
import { StrictlyIncreasingClock } from "./clock.js";
import { type Confirmation, WriteConfirmations } from "./confirmations.js";
import { EffectRunner } from "./effects.js";
import { GapMeter } from "./gap.js";
import { MarkHistory } from "./history.js";
import type { WatchOptions } from "./ports.js";
import { type MarkReading, interpretStatus } from "./reading.js";
import { type UntimedEvent, ControllerRunner } from "./runner.js";
import { type StreamAnswer, StatusStream } from "./stream.js";
import { allWatchSafeguards, buildFailoverOptions } from "./setup.js";
import { buildView, findMajorityConfirmedAt } from "./view.js";

interface WatchedTarget {
  readonly target: Target;
  readonly stream: StatusStream;
  readonly statusClient: FreshStatusClient;
}

/**
 * Monitors one group at the VM that owns it: keeps the targets' positions up to date, replaces a failed primary,
 * and determines when a write may be acknowledged. It is safe for two VMs to watch the same group.
 */
export class GroupWatch implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly clock: StrictlyIncreasingClock;
  private readonly timings: FailoverTimings;
  private readonly watchedTargets: ReadonlyMap<string, WatchedTarget>;
  private readonly effects: EffectRunner;
  private readonly runner: ControllerRunner;
  private readonly confirmations: WriteConfirmations;
  private readonly history = new MarkHistory();
  private readonly gapMeter: GapMeter;
  private readonly listeners = new Set<(view: GroupView) => void>();
  private current: GroupView;
  /** When the last known primary most recently answered. */
  private primaryAnsweredAt: number | undefined;

  constructor(private readonly options: WatchOptions) {
    const { group, random } = options;
    this.timings = options.timings ?? defaultTimings;
    this.clock = new StrictlyIncreasingClock(options.clock);
    this.runner = new ControllerRunner(buildFailoverOptions(options), this.clock, random, {
      onEffect: (effect, at) => this.effects.execute(effect, at),
      onChange: (state) => this.handleChange(state),
    });
    this.current = buildView(this.runner.state);
    this.effects = new EffectRunner(options, this.clock, {
      apply: (event) => this.handleEvent(event),
      onAnswer: (answer) => this.handleAnswer(answer),
      onMiss: (target, reason) => this.handleMiss(target, reason, true),
      reconnect: (target) => this.watchedTargets.get(target)?.stream.reconnect(),
      onNote: (note, at) => this.gapMeter.recordNote(note, at, this.primaryAnsweredAt),
    });
    this.gapMeter = new GapMeter((gapMs, split) => {
      options.log.write(failoverEvents.gap, { group: group.name, gapMs, ...split });
      options.onGap?.(gapMs, split);
    });
    this.confirmations = new WriteConfirmations({
      clock: this.clock,
      targets: group.targets.map((t) => t.name),
      safeguards: options.safeguards ?? allWatchSafeguards,
      requestStatus: (target) => void this.requestFreshStatus(target),
      statusRetryMs: this.timings.heartbeatMs,
      isSuperseded: (write) => isSuperseded(this.runner.state, write.term),
    });
    this.watchedTargets = new Map(group.targets.map((t) => [t.name, this.watchTarget(t)]));
    this.disposables.add(this.runner);
    this.disposables.add(this.confirmations);
  }

  /** Starts the status streams and the failover controller. */
  start(): void {
    for (const { stream } of this.watchedTargets.values()) stream.start();
    this.runner.apply({ type: "ticked" });
  }

  /** Stops for good; pending calls of `confirm` resolve to `timedOut`. */
  dispose(): Promise<void> {
    return this.disposables.dispose();
  }

  /** Returns the current view of the group. */
  getView(): GroupView {
    return this.current;
  }

  /** Whether this VM is cut off from a primary that others may reach, so that another VM should own the group. */
  get isCutOff(): boolean {
    return isCutOff(this.runner.state);
  }

  /** Whether new writes should wait so that a replica can catch up during a planned switchover. */
  get isSwitchingOver(): boolean {
    const { plannedSwitch: switching } = this.runner.state;
    return switching !== undefined && this.options.clock.now() < switching.until;
  }

  /** Calls `listener` with each new view. */
  subscribe(listener: (view: GroupView) => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  }

  /**
   * Reads the primary's current mark. If called after a commit's reply, the mark is at or after the commit; pass its
   * `term` and `askedAt` to `confirm`. With `witnessed`, the other targets are asked in parallel, so that their
   * answers are available when `confirm` is called.
   */
  async readMark(target: string, mode: Acknowledgement = "replicated"): Promise<MarkReading> {
    const reading = this.requestFreshStatus(target);
    if (mode === "witnessed") this.requestOtherStatuses(target);
    const timed = await reading;
    return interpretStatus(timed);
  }

  /**
   * Waits until a write of `term`, committed at or before `mark`, may be acknowledged. `term` is that of the view
   * used to send the write. `committedAt` is a time at which the commit was already known to this VM, such as the
   * `askedAt` that `readMark` returns.
   */
  async confirm(
    term: Term,
    mark: Mark,
    mode: Acknowledgement,
    signal: AbortSignal,
    committedAt = this.clock.now(),
  ): Promise<Confirmation> {
    const { primary, targets } = this.current;
    if (primary === undefined || compareTerms(primary.term, term) !== 0) {
      return { type: "superseded" };
    }
    const known = Object.values(targets).flatMap((view) => view ?? []);
    const write = { primary: primary.target, term, mark, mode, committedAt };
    const confirmation = await this.confirmations.wait(write, known, signal);
    if (confirmation.type === "confirmed") this.gapMeter.recordWrite(term, this.clock.now());
    return confirmation;
  }

  /** Finds an upper bound of the age of a target's data at `now`; `undefined` if none is known. */
  findMaxAgeMs(target: string, now: number): number | undefined {
    const status = this.current.targets[target]?.status;
    const caughtUpAt = status === undefined ? undefined : this.history.findCaughtUpAt(status);
    return caughtUpAt === undefined ? undefined : Math.max(0, now - caughtUpAt);
  }

  /** Reports that a connection to the target broke. This makes the controller check the target earlier. */
  reportConnectionFailure(target: string): void {
    this.runner.apply({ type: "hinted", target });
  }

  /** Moves the primary role away from a target that is to be removed, once a replica has its whole log. */
  requestSwitchover(target: string): void {
    this.runner.apply({ type: "switchAsked", target });
  }

  private watchTarget(target: Target): WatchedTarget {
    const { control } = this.options;
    const { clock, timings } = this;
    const { name } = target;
    const stream = new StatusStream({
      target,
      control,
      clock,
      getHoldMs: (role) => (role === "primary" ? timings.heartbeatMs : timings.replicaHeartbeatMs),
      getGraceMs: () => this.findGraceMs(name),
      retryMs: timings.heartbeatMs,
      onAnswer: (answer) => this.handleAnswer(answer),
      onMiss: (reason) => this.handleMiss(name, reason, false),
    });
    this.disposables.add(stream);
    return {
      target,
      stream,
      statusClient: new FreshStatusClient(target, { control, clock }, timings.confirmMs),
    };
  }

  /** A primary gets the maximum: the controller itself checks a silent one and then reconnects its stream. */
  private findGraceMs(target: string): number {
    const isPrimary = this.current.primary?.target === target;
    return isPrimary
      ? this.timings.maxLatenessToleranceMs
      : getLatenessTolerance(this.runner.state, target);
  }

  private requestOtherStatuses(target: string): void {
    for (const name of this.watchedTargets.keys())
      if (name !== target) void this.requestFreshStatus(name);
  }

  private async requestFreshStatus(name: string): ReturnType<FreshStatusClient["request"]> {
    const watched = this.watchedTargets.get(name);
    if (watched === undefined)
      throw new Error(`${name} is not a target of group ${this.options.group.name}`);
    const timed = await watched.statusClient.request();
    if (timed.result.type === "accepted")
      this.handleAnswer({ status: timed.result.status, askedAt: timed.askedAt });
    return timed;
  }

  private handleAnswer(answer: StreamAnswer): void {
    this.runner.apply({ type: "answered", ...answer });
    this.confirmations.observe({ ...answer, answeredAt: this.clock.now() });
  }

  private handleEvent(event: UntimedEvent): void {
    this.runner.apply(event);
    if (event.type !== "controlled" || event.result.type !== "accepted") return;
    const { status } = event.result;
    this.confirmations.observe({ status, askedAt: event.askedAt, answeredAt: this.clock.now() });
  }

  private handleMiss(target: string, reason: string, isFresh: boolean): void {
    this.options.log.write(failoverEvents.unreachable, {
      group: this.options.group.name,
      target,
      reason,
    });
    this.runner.apply({ type: "missed", target, isFresh });
  }

  private handleChange(state: FailoverState): void {
    this.current = buildView(state);
    const { primary } = this.current;
    if (primary !== undefined)
      this.primaryAnsweredAt = this.current.targets[primary.target]?.answeredAt;
    this.recordHistory();
    for (const listener of [...this.listeners]) listener(this.current);
  }

  private recordHistory(): void {
    const { primary, targets } = this.current;
    const confirmedAt = findMajorityConfirmedAt(this.current, [...this.watchedTargets.keys()]);
    const mark = primary && targets[primary.target]?.status.mark;
    if (confirmedAt !== undefined && mark !== undefined) this.history.record(confirmedAt, mark);
  }
}
