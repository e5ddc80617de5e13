import { SlotQueue, TargetPool, type ConnectionTaken, type SlotResult } from "../capacity/index.js";
import type { AdmissionRequest } from "../controller/admission/index.js";
import {
  compareTerms,
  DisposableStore,
  orderMarks,
  pickLaterMark,
  type Disposable,
  type Mark,
  type Target,
} from "../model/index.js";
import {
  emptyHistory,
  findMarkSince,
  findNewestMark,
  observePrimary,
  type PositionHistory,
} from "../policy/index.js";
import type { CandidateView } from "./candidates.js";
import {
  noteAnswer,
  noteBehind,
  noteFailure,
  noteFull,
  soundHealth,
  type TargetHealth,
} from "./health.js";
import type { DirectPorts } from "./ports.js";
import { PreparedLink } from "./prelude.js";
import type { TargetLink } from "../statement/index.js";
import type { AnnouncedGroup, AnnouncedTarget } from "./scene.js";
import { countShare, leastShare, type ConnectionShare } from "./share.js";

/** A connection in use by one statement or transaction. */
export type DirectTaken = ConnectionTaken<PreparedLink>;

/** How long a connection is waited for. Times are on the proxy's clock, in milliseconds. */
export interface TakeLimits {
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/** Opening takes about 12 ms and one of the target's slots; beyond this the target is not there. */
const openTimeoutMs = 400;
/** The first pause after a connection that could not be opened, about two tries to connect. */
const firstBackoffMs = 50;
/**
 * The longest such pause. With the usual 5 s, proxies that had been cut off from a replica refuse what needs
 * it for seconds after the cut has healed and the replica was made the primary.
 */
const longestBackoffMs = 400;
/** Silence on a check after which a connection counts as lost; a round trip takes 1 to 3 ms. */
const checkTimeoutMs = 150;
/** Connections idle for longer are checked before use: they may have gone silent meanwhile. */
const checkAfterIdleMs = 5000;
/** Between two looks at the connections; the usual 50 ms would wake an idle process all the time. */
const poolTickMs = 200;
/** Statements are ended by their own timeouts; a connection silent for longer is closed anyway. */
const progressTimeoutMs = 10_000;
/** A statement that has waited for so long shows that the base does not do: several times the usual work. */
const growAfterMs = 60;
/** How long a target counts the connections of processes that lost their power, and a margin. */
const lingerMs = 4000;
/** An idle connection beyond the base is closed after this: others may need its place. */
const surplusMs = 1000;

/** A group's targets as this proxy uses them: their slots, connections, health and positions. */
export class DirectGroup implements Disposable {
  readonly slots: SlotQueue;
  private readonly owned = new DisposableStore();
  private readonly pools = new Map<string, TargetPool<PreparedLink>>();
  private readonly health = new Map<string, TargetHealth>();
  private readonly running = new Map<string, number>();
  private targets = new Map<string, AnnouncedTarget>();
  private history: PositionHistory = emptyHistory;
  /** The newest end of its log that the primary has shown since it leads. */
  private shownEnd: ShownEnd | undefined;
  private readonly shares = new Map<string, ConnectionShare>();

  constructor(
    private group: AnnouncedGroup,
    private readonly ports: DirectPorts,
  ) {
    this.slots = this.owned.add(new SlotQueue(ports.clock));
    this.update(group);
  }

  get name(): string {
    return this.group.name;
  }

  /** Takes the platform's latest list of the group's targets. */
  update(group: AnnouncedGroup): void {
    this.group = group;
    const before = this.targets;
    this.targets = new Map(group.targets.map((t) => [t.name, t]));
    for (const target of group.targets) {
      if (hasRestarted(before.get(target.name), target)) this.forgetTarget(target.name);
      this.updateTarget(target);
    }
    for (const name of before.keys()) if (!this.targets.has(name)) this.removeTarget(name);
  }

  /** The targets as the choice of one for a team's statement sees them. */
  listViews(team: string): readonly CandidateView[] {
    return [...this.targets.values()].map((target) => ({
      name: target.name,
      isLeaving: target.isLeaving === true,
      isLocal: target.dataCentre === this.ports.dataCentre,
      health: this.findHealth(target.name),
      running: this.running.get(target.name) ?? 0,
      hasIdle: this.pools.get(target.name)?.hasIdle(team) === true,
      slots: this.findShare(target.name).slots,
      held: this.findShare(target.name).slots - this.slots.countFree(target.name),
    }));
  }

  /** Waits for a slot; the caller counts what runs by `noteStart` and `noteEnd`. */
  acquire(request: AdmissionRequest, signal: AbortSignal): Promise<SlotResult> {
    return this.slots.acquire(request, signal);
  }

  /**
   * Lets what waits for a primary that was replaced be placed anew. The slots of one that went dark come
   * free only as its statements run out of their time, 0.8 s; what waited behind them was refused unsent.
   */
  evict(target: string): void {
    this.shownEnd = undefined;
    this.slots.evict(target);
  }

  /** Whether something waits for a target alone. */
  isWanted(target: string): boolean {
    return this.slots.countWaitingFor(target) > 0;
  }

  /** Waits for a connection to a target that serves one team, or those of no team by the empty name. */
  take(target: string, team: string, { deadlineAt, signal }: TakeLimits): Promise<DirectTaken> {
    const listed = this.targets.get(target);
    if (listed !== undefined && !this.pools.has(target)) this.addPool(listed);
    const pool = this.pools.get(target);
    if (pool === undefined) {
      return Promise.resolve({ type: "refused", reason: "noConnection", retryAfterMs: 0 });
    }
    return pool.take(deadlineAt, signal, team);
  }

  noteStart(target: string): void {
    this.running.set(target, (this.running.get(target) ?? 0) + 1);
  }

  noteEnd(target: string): void {
    this.running.set(target, Math.max(0, (this.running.get(target) ?? 0) - 1));
  }

  noteAnswer(target: string): void {
    this.health.set(target, noteAnswer(this.findHealth(target)));
  }

  /** Notes that a target had no slot free. */
  noteFull(target: string): void {
    this.pools.get(target)?.noteFull();
    this.health.set(target, noteFull(this.findHealth(target), this.ports.clock.now()));
  }

  noteFailure(target: string): void {
    this.health.set(target, noteFailure(this.findHealth(target), this.ports.clock.now()));
  }

  noteBehind(target: string): void {
    this.health.set(target, noteBehind(this.findHealth(target), this.ports.clock.now()));
  }

  /** Notes where the primary's log ended in an answer to what was sent at `askedAt`. */
  notePrimaryMark(target: string, mark: Mark, askedAt: number): void {
    const shown = this.findShownEnd(target);
    this.shownEnd = { target, mark: shown === undefined ? mark : pickLaterMark(shown, mark) };
    const newest = findNewestMark(this.history);
    if (newest !== undefined && compareTerms(mark.term, newest.term) < 0) return;
    this.history = observePrimary(this.history, { status: { mark }, askedAt });
  }

  /** The mark that holds all that was acknowledged before `time`; absent when not known. */
  findMarkSince(time: number): Mark | undefined {
    return findMarkSince(this.history, time);
  }

  /** Forgets what was known of the log: the process stood still for a time that no clock shows. */
  forgetMarks(): void {
    this.history = emptyHistory;
  }

  dispose(): Promise<void> {
    for (const pool of this.pools.values()) pool.dispose();
    return this.owned.dispose();
  }

  private findHealth(target: string): TargetHealth {
    return this.health.get(target) ?? soundHealth;
  }

  private findShare(target: string): ConnectionShare {
    return this.shares.get(target) ?? leastShare;
  }

  private updateTarget(target: AnnouncedTarget): void {
    const isLeaving = target.isLeaving === true;
    const holding = this.ports.findHolding(this.name, target.dataCentre);
    const share = countShare(this.group.connections, target, holding);
    this.shares.set(target.name, share);
    const pool = this.pools.get(target.name);
    pool?.resize(share.base + share.most, share.most);
    if (holding.type === "none") this.closePool(target.name);
    else if (pool === undefined && !isLeaving) this.addPool(target);
    this.slots.resize(target.name, target.announcedRole, share.slots);
  }

  /** Gives back the connections to a target; one that is asked for anew opens another pool. */
  private closePool(target: string): void {
    this.pools.get(target)?.drain();
    this.pools.delete(target);
  }

  private addPool(target: Target): void {
    const { dialer, clock } = this.ports;
    const ports = {
      open: (timeoutMs: number, team: string) => this.openLink(target, timeoutMs, team),
      check: (link: PreparedLink) => link.check(checkTimeoutMs),
      isTooMany: (error: unknown) => dialer.isTooMany(error),
    };
    const { base, most } = this.findShare(target.name);
    const settings = {
      // The base may be opened from the start.
      limit: base + most,
      maxShare: most,
      growAfterMs,
      growNotBefore: clock.now() + lingerMs,
      idleTimeoutMs: surplusMs,
      controlReserve: 0,
      openTimeoutMs,
      firstBackoffMs,
      longestBackoffMs,
      checkTimeoutMs,
      checkAfterIdleMs,
      progressTimeoutMs,
      minIdle: base,
    };
    this.pools.set(target.name, new TargetPool(ports, clock, { settings, tickMs: poolTickMs }));
  }

  /** Opens a connection. One that fails tells of the target, unless the target itself refused it. */
  private async openLink(target: Target, timeoutMs: number, team: string): Promise<PreparedLink> {
    const { dialer, primaries, clock } = this.ports;
    const askedAt = clock.now();
    const shown = this.findShownEnd(target.name);
    try {
      const link = await dialer.open(this.name, target, timeoutMs, team || undefined);
      if (this.isPrimary(target)) this.noteOpened(target, link, shown, askedAt);
      return new PreparedLink(link);
    } catch (error) {
      if (!dialer.isTooMany(error)) {
        this.noteFailure(target.name);
        if (this.isPrimary(target)) primaries.noteContact(this.name, target.name, false);
      }
      throw error;
    }
  }

  /**
   * Takes in where the primary's log ended when a connection to it was opened: that tells as much as an
   * answer, so that right after a start reads need not all go to the primary first. `shown` was its newest
   * end when the opening began.
   *
   * A primary that started again under its name may hold nothing of what it had acknowledged. It would
   * answer plain reads as before, and callers would miss their own commits. Connections to the process
   * before are gone, so that each statement for the new one needs an opening, which shows it. Only what
   * this primary has shown itself counts: one that was just promoted may begin before the end of the one
   * before it, by commits that had reached no replica. Held against it, that would make a second change of
   * primary follow the first.
   */
  private noteOpened(
    { name }: Target,
    link: TargetLink,
    shown: Mark | undefined,
    askedAt: number,
  ): void {
    const { openedAt } = link;
    if (hasLostLog(shown, openedAt)) {
      this.ports.primaries.noteLostLog(this.name, name);
      if (!this.isPrimary({ name })) {
        link.close();
        throw new LostLogError(`${name} lacks commits that it had acknowledged`);
      }
      // It leads all the same, since no other target runs: its log begins anew here.
      this.history = emptyHistory;
      this.shownEnd = undefined;
    }
    if (openedAt !== undefined) this.notePrimaryMark(name, openedAt, askedAt);
  }

  private findShownEnd(target: string): Mark | undefined {
    return this.shownEnd?.target === target ? this.shownEnd.mark : undefined;
  }

  private isPrimary({ name }: Pick<Target, "name">): boolean {
    const primary = this.ports.primaries.find(this.name);
    return primary.type === "serving" && primary.target === name;
  }

  private removeTarget(name: string): void {
    this.forgetTarget(name);
    this.shares.delete(name);
    this.slots.resize(name, "replica", 0);
  }

  /**
   * Forgets what was known of the process behind a target. What still runs there holds its slot until
   * its connection ends. Marks stay: a replica proves with each read that it holds the one asked for.
   */
  private forgetTarget(name: string): void {
    this.closePool(name);
    this.health.delete(name);
  }
}

/** Where a primary's log ended when it last told. */
interface ShownEnd {
  readonly target: string;
  readonly mark: Mark;
}

/** A primary that may not be read from until it is settled who leads. */
class LostLogError extends Error {
  override readonly name = "LostLogError";
}

/** Whether another process than before answers under a target's name. */
function hasRestarted(before: AnnouncedTarget | undefined, now: AnnouncedTarget): boolean {
  const known = before?.startedAt;
  return known !== undefined && now.startedAt !== undefined && known !== now.startedAt;
}

/** Whether a primary's log ends before the end that the primary had shown. */
function hasLostLog(shown: Mark | undefined, openedAt: Mark | undefined): boolean {
  if (shown === undefined) return false;
  return openedAt === undefined || orderMarks(openedAt, shown) < 0;
}
