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
import { FreshAsker } from "./asker.js";
import { StrictClock } from "./clock.js";
import { type Confirmation, Confirmations } from "./confirmations.js";
import { EffectRunner } from "./effects.js";
import { GapMeter } from "./gap.js";
import { MarkHistory } from "./history.js";
import type { WatchOptions } from "./ports.js";
import { type MarkReading, toReading } from "./reading.js";
import { type BareEvent, ControllerRunner } from "./runner.js";
import { type StreamAnswer, StatusStream } from "./stream.js";
import { allWatchSafeguards, buildOptions } from "./setup.js";
import { buildView, findBackedAt } from "./view.js";

interface Watched {
  readonly target: Target;
  readonly stream: StatusStream;
  readonly asker: FreshAsker;
}

/**
 * Watches one group from its owner: keeps its positions up to date, changes its primary when that
 * fails, and tells when a write may be acknowledged. Nothing breaks when two VMs watch one group.
 */
export class GroupWatch implements Disposable {
  private readonly owned = new DisposableStore();
  private readonly clock: StrictClock;
  private readonly timings: FailoverTimings;
  private readonly watched: ReadonlyMap<string, Watched>;
  private readonly effects: EffectRunner;
  private readonly runner: ControllerRunner;
  private readonly confirmations: Confirmations;
  private readonly history = new MarkHistory();
  private readonly gap: GapMeter;
  private readonly listeners = new Set<(view: GroupView) => void>();
  private current: GroupView;
  /** When the last known primary last answered. */
  private heardAt: number | undefined;

  constructor(private readonly options: WatchOptions) {
    const { group, random } = options;
    this.timings = options.timings ?? defaultTimings;
    this.clock = new StrictClock(options.clock);
    this.runner = new ControllerRunner(buildOptions(options), this.clock, random, {
      onEffect: (effect, at) => this.effects.execute(effect, at),
      onChange: (state) => this.handleChange(state),
    });
    this.current = buildView(this.runner.state);
    this.effects = new EffectRunner(options, this.clock, {
      apply: (event) => this.handleEvent(event),
      onAnswer: (answer) => this.handleAnswer(answer),
      onMiss: (target, reason) => this.handleMiss(target, reason, true),
      renew: (target) => this.watched.get(target)?.stream.renew(),
      onNote: (note, at) => this.gap.note(note, at, this.heardAt),
    });
    this.gap = new GapMeter((gapMs, split) => {
      options.log.write(failoverEvents.gap, { group: group.name, gapMs, ...split });
      options.onGap?.(gapMs, split);
    });
    this.confirmations = new Confirmations({
      clock: this.clock,
      targets: group.targets.map((t) => t.name),
      safeguards: options.safeguards ?? allWatchSafeguards,
      ask: (target) => void this.askFresh(target),
      askAgainMs: this.timings.heartbeatMs,
      isSuperseded: (write) => isSuperseded(this.runner.state, write.term),
    });
    this.watched = new Map(group.targets.map((t) => [t.name, this.watchTarget(t)]));
    this.owned.add(this.runner);
    this.owned.add(this.confirmations);
  }

  /** Begins to watch. */
  start(): void {
    for (const { stream } of this.watched.values()) stream.start();
    this.runner.apply({ type: "ticked" });
  }

  /** Stops for good; writes that wait for a confirmation hear `timedOut`. */
  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  /** The group as it is known now. */
  view(): GroupView {
    return this.current;
  }

  /** Whether this VM is cut off from a primary that others may reach: another VM should own the group. */
  get isCutOff(): boolean {
    return isCutOff(this.runner.state);
  }

  /** Whether new writes should wait, so that a replica can catch up in a planned switch. */
  get isSwitching(): boolean {
    const { plannedSwitch: switching } = this.runner.state;
    return switching !== undefined && this.options.clock.now() < switching.until;
  }

  /** Calls `listener` with each new view. */
  subscribe(listener: (view: GroupView) => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  }

  /**
   * Reads a fresh mark of the primary. Called after a commit's reply, the mark is at or after the
   * commit; give `term` and `askedAt` on to `confirm`. With `witnessed` the others are asked in the
   * same moment, so that their answers are there when `confirm` is called.
   */
  async readMark(target: string, mode: Acknowledgement = "replicated"): Promise<MarkReading> {
    const reading = this.askFresh(target);
    if (mode === "witnessed") this.askOthers(target);
    const asked = await reading;
    return toReading(asked);
  }

  /**
   * Waits until a write of `term`, committed at or before `mark`, may be acknowledged. `term` is the
   * one of the view by which the write was sent; `committedAt` a time by which its commit was known
   * here, as `readMark` gives it.
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
    if (confirmation.type === "confirmed") this.gap.noteWrite(term, this.clock.now());
    return confirmation;
  }

  /** An upper bound in milliseconds of the age of a target's data at `now`, where one is known. */
  findAge(target: string, now: number): number | undefined {
    const status = this.current.targets[target]?.status;
    const heldAt = status === undefined ? undefined : this.history.findHeldAt(status);
    return heldAt === undefined ? undefined : Math.max(0, now - heldAt);
  }

  /** A connection to the target broke. Hastens the checks and replaces none. */
  observeFailure(target: string): void {
    this.runner.apply({ type: "hinted", target });
  }

  /** Moves the primary role away from a target that is to leave, once a replica holds all it has. */
  switchFrom(target: string): void {
    this.runner.apply({ type: "switchAsked", target });
  }

  private watchTarget(target: Target): Watched {
    const { control } = this.options;
    const { clock, timings } = this;
    const { name } = target;
    const stream = new StatusStream({
      target,
      control,
      clock,
      findWaitMs: (role) => (role === "primary" ? timings.heartbeatMs : timings.replicaHeartbeatMs),
      findPatienceMs: () => this.findPatience(name),
      retryMs: timings.heartbeatMs,
      onAnswer: (answer) => this.handleAnswer(answer),
      onMiss: (reason) => this.handleMiss(name, reason, false),
    });
    this.owned.add(stream);
    return {
      target,
      stream,
      asker: new FreshAsker(target, { control, clock }, timings.confirmMs),
    };
  }

  /** The controller checks a silent primary itself and then renews its stream. */
  private findPatience(target: string): number {
    const isPrimary = this.current.primary?.target === target;
    return isPrimary
      ? this.timings.maxLatenessToleranceMs
      : getLatenessTolerance(this.runner.state, target);
  }

  private askOthers(target: string): void {
    for (const name of this.watched.keys()) if (name !== target) void this.askFresh(name);
  }

  private async askFresh(name: string): ReturnType<FreshAsker["ask"]> {
    const watched = this.watched.get(name);
    if (watched === undefined)
      throw new Error(`${name} is no target of ${this.options.group.name}`);
    const asked = await watched.asker.ask();
    if (asked.result.type === "accepted")
      this.handleAnswer({ status: asked.result.status, askedAt: asked.askedAt });
    return asked;
  }

  private handleAnswer(answer: StreamAnswer): void {
    this.runner.apply({ type: "answered", ...answer });
    this.confirmations.observe({ ...answer, answeredAt: this.clock.now() });
  }

  private handleEvent(event: BareEvent): void {
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
    if (primary !== undefined) this.heardAt = this.current.targets[primary.target]?.answeredAt;
    this.noteHistory();
    for (const listener of [...this.listeners]) listener(this.current);
  }

  private noteHistory(): void {
    const { primary, targets } = this.current;
    const backedAt = findBackedAt(this.current, [...this.watched.keys()]);
    const mark = primary && targets[primary.target]?.status.mark;
    if (backedAt !== undefined && mark !== undefined) this.history.note(backedAt, mark);
  }
}
