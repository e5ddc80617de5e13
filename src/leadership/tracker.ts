import type { AnnouncedTarget, PrimarySource, PrimaryState } from "../direct/index.js";
import { leadershipEvents } from "../log/events/leadership.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import { emptyLeadership, type GroupLeadership, type VersionedLeadership } from "./document.js";
import { extendPermit, isPermitted, noPermit, type Permit } from "./permit.js";
import type { LeadershipUpdate, PromotedPrimary } from "./ports.js";
import type { StallDetector } from "./stall.js";
import { recordContact, recordSilence, type PrimaryContact } from "./suspicion.js";

/** What a tracker needs of the world. */
export interface LeadershipTrackerPorts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly stallDetector: StallDetector;
  readonly listTargets: (group: string) => readonly AnnouncedTarget[];
  /** The process stood still: what was measured on its clock no longer holds. */
  readonly onStall: () => void;
  /** A primary has left a statement without an answer. */
  readonly onContactFailure: () => void;
  /** A primary is being replaced. */
  readonly onSuperseded: (group: string, target: string) => void;
  /** Nothing has come from a primary since `since`, when a statement was sent to it. */
  readonly onSilence: (group: string, target: string, since: number) => void;
}

interface LostLog {
  readonly target: string;
  readonly round: number;
}

/** The time from a change's beginning to its end that callers are told at first, in milliseconds. */
const typicalChangeMs = 900;
/** Callers are told to come back no sooner than this. */
const minRetryDelayMs = 50;
/** Why no primary may be used, for the log and the text of refusals. */
const changeUnderWay = "a new primary is being made";
const noPermitHeld = "this proxy may use no primary until it is confirmed who leads";
const lostLog = "the primary has lost commits and is being replaced";
/** The permission comes back with the next poll unless the store is away. */
const minPermitDelayMs = 150;

/** What this proxy holds about who leads, and whether it may act on it. */
export class LeadershipTracker implements PrimarySource {
  private current: VersionedLeadership = { version: 0, document: emptyLeadership };
  private promoted: readonly PromotedPrimary[] = [];
  private permit: Permit = noPermit;
  private lastStoreQueryAt: number | undefined;
  private hasPermit = false;
  private isRevoked = false;
  private permitLostAt: number | undefined;
  private stalledAt: number | undefined;
  private readonly contacts = new Map<string, PrimaryContact>();
  /** By group: the primary that has lost commits, and the round in which that was seen. */
  private readonly lostLogs = new Map<string, LostLog>();
  private readonly changingSince = new Map<string, number>();

  constructor(private readonly ports: LeadershipTrackerPorts) {}

  get leadership(): VersionedLeadership {
    return this.current;
  }

  get latestUpdate(): LeadershipUpdate {
    return { leadership: this.current, promoted: this.promoted };
  }

  /** When the question was sent whose answer confirmed the leadership last. */
  get confirmedAt(): number | undefined {
    this.checkStall();
    return this.permit.confirmedAt;
  }

  /** Whether the process stood still at some time after `time`, unseen by its steady clock. */
  hasStalledSince(time: number): boolean {
    this.checkStall();
    return this.stalledAt !== undefined && this.stalledAt >= time;
  }

  /** Takes in a document, and primaries made since. Older documents change nothing. */
  adopt({ leadership, promoted }: LeadershipUpdate): void {
    if (leadership.version > this.current.version) {
      this.current = leadership;
      this.trackGroupChanges();
      const { version } = leadership;
      const { holder } = leadership.document;
      this.ports.logger.write(leadershipEvents.adopted, { version, holder: holder?.vm ?? null });
    }
    const fresh = promoted.filter((m) => !this.promoted.some((known) => isSameRound(known, m)));
    this.promoted = [...this.promoted, ...fresh].filter((m) => this.isPendingRound(m));
  }

  /** Notes that what is held was confirmed by the answer to a question sent at `askedAt`. */
  confirm(askedAt: number): void {
    // A question sent before the process stood still proves nothing about the time since.
    this.checkStall();
    if (this.stalledAt !== undefined && askedAt <= this.stalledAt) return;
    if (this.isRevoked) return;
    this.permit = extendPermit(this.permit, askedAt);
  }

  /** Notes that the store has answered, to whomever, a question sent at `askedAt`. */
  noteStoreAnswer(askedAt: number): void {
    this.checkStall();
    if (this.stalledAt !== undefined && askedAt <= this.stalledAt) return;
    this.lastStoreQueryAt = Math.max(this.lastStoreQueryAt ?? askedAt, askedAt);
  }

  /** When the question was sent that the store answered last, as far as this process knows. */
  get lastAnsweredStoreQueryAt(): number | undefined {
    this.checkStall();
    return this.lastStoreQueryAt;
  }

  /** Gives the permission up for good: this proxy is about to be one that nobody waits for. */
  revokePermit(): void {
    this.isRevoked = true;
    this.permit = noPermit;
  }

  /** Whether primaries may be used now. */
  get isPermitted(): boolean {
    this.checkStall();
    return isPermitted(this.permit, this.ports.clock.now());
  }

  find(group: string): PrimaryState {
    const isNow = this.isPermitted;
    if (isNow !== this.hasPermit) {
      this.hasPermit = isNow;
      const event = isNow ? leadershipEvents.permitGained : leadershipEvents.permitLost;
      this.ports.logger.write(event, { version: this.current.version });
    }
    if (isNow) this.permitLostAt = undefined;
    if (!isNow)
      return { type: "changing", backInMs: this.estimatePermitDelayMs(), reason: noPermitHeld };
    return this.findLeader(group);
  }

  /** Who leads by what is held, whether it may be acted on or not. */
  findLeader(group: string): PrimaryState {
    const entry = this.current.document.groups[group];
    if (entry === undefined) return this.findAnnounced(group);
    const target = entry.type === "serving" ? entry.target : this.findPromoted(group, entry);
    if (target === undefined) {
      return {
        type: "changing",
        backInMs: this.estimateRemainingMs(group),
        reason: changeUnderWay,
      };
    }
    const isListed = this.ports.listTargets(group).some((t) => t.name === target);
    if (isListed && !this.hasLostLog(group, target)) return { type: "serving", target };
    const reason = isListed ? lostLog : "the primary's entry is missing";
    return { type: "changing", backInMs: typicalChangeMs, reason };
  }

  /** The primary of a group by what is held, listed or not. */
  findKnownPrimary(group: string): string | undefined {
    const entry = this.current.document.groups[group];
    if (entry?.type === "serving") return entry.target;
    if (entry?.type === "changing") return this.findPromoted(group, entry);
    const announced = this.findAnnounced(group);
    if (announced.type === "serving") return announced.target;
    return this.lostLogs.get(group)?.target ?? this.contacts.get(group)?.target;
  }

  noteContact(group: string, target: string, isReached: boolean): void {
    const { clock } = this.ports;
    const known = this.contacts.get(group);
    this.contacts.set(group, recordContact(known, target, isReached, clock.now()));
    if (!isReached) this.ports.onContactFailure();
  }

  noteLostLog(group: string, target: string): void {
    const round = this.findRound(group);
    const known = this.lostLogs.get(group);
    if (known?.target === target && known.round < round) {
      // It was made primary again: no other target runs, and what is lost is lost.
      this.lostLogs.delete(group);
      return;
    }
    if (known === undefined) this.ports.logger.write(leadershipEvents.logLost, { group, target });
    this.lostLogs.set(group, { target, round });
    this.ports.onContactFailure();
  }

  /** Whether the primary of the round in force has lost commits that it had acknowledged. */
  hasLostLog(group: string, target: string): boolean {
    const known = this.lostLogs.get(group);
    return known?.target === target && known.round === this.findRound(group);
  }

  noteSilence(group: string, target: string, since: number): void {
    if (!this.hasReached(group, target, since)) this.ports.onSilence(group, target, since);
  }

  /** Whether a group's primary has answered a statement of this proxy since `since`. */
  hasReached(group: string, target: string, since: number): boolean {
    const contact = this.contacts.get(group);
    const reachedAt = contact?.target === target ? contact.reachedAt : undefined;
    return reachedAt !== undefined && reachedAt >= since;
  }

  /**
   * Notes whether a primary that was silent since `since` took a new connection. One of which much is
   * asked may not do so in time, and answers statements all the while.
   */
  noteProbeResult(group: string, target: string, since: number, isReached: boolean): void {
    if (isReached) this.noteContact(group, target, true);
    else if (!this.hasReached(group, target, since))
      this.contacts.set(group, recordSilence(this.contacts.get(group), target, since));
  }

  getContact(group: string): PrimaryContact | undefined {
    return this.contacts.get(group);
  }

  /** A loss is over once another target leads. */
  private forgetLostLog(group: string, entry: GroupLeadership): void {
    const isOver = entry.type === "serving" && entry.target !== this.lostLogs.get(group)?.target;
    if (isOver) this.lostLogs.delete(group);
  }

  private findRound(group: string): number {
    return this.current.document.groups[group]?.round ?? 0;
  }

  private checkStall(): void {
    if (!this.ports.stallDetector.detectStall()) return;
    this.stalledAt = this.ports.clock.now();
    this.permit = noPermit;
    this.lastStoreQueryAt = undefined;
    this.ports.logger.write(leadershipEvents.stalled, {});
    this.ports.onStall();
  }

  /** Before any change the targets' own word counts, unless two claim to lead. */
  private findAnnounced(group: string): PrimaryState {
    const leaders = this.ports.listTargets(group).filter((t) => t.announcedRole === "primary");
    const [leader] = leaders;
    if (leader === undefined) {
      return {
        type: "changing",
        backInMs: typicalChangeMs,
        reason: "no target says that it leads",
      };
    }
    if (leaders.length > 1) return { type: "unknown", reason: "two targets claim to be primary" };
    if (this.hasLostLog(group, leader.name)) {
      return { type: "changing", backInMs: typicalChangeMs, reason: lostLog };
    }
    return { type: "serving", target: leader.name };
  }

  /**
   * When the permission is likely to be back: with the next look, or, the longer it has been away, the
   * later. Callers that a proxy which is cut off told to wait would do so in vain; refused at once they try
   * again elsewhere.
   */
  private estimatePermitDelayMs(): number {
    const now = this.ports.clock.now();
    this.permitLostAt ??= now;
    return Math.max(minPermitDelayMs, 2 * (now - this.permitLostAt));
  }

  private findPromoted(group: string, entry: GroupLeadership): string | undefined {
    return this.promoted.find((m) => m.group === group && m.round === entry.round)?.target;
  }

  /** Whether a primary that was made belongs to the change that is under way. */
  private isPendingRound({ group, round }: PromotedPrimary): boolean {
    const entry = this.current.document.groups[group];
    if (entry === undefined) return true;
    return entry.type === "changing" ? round >= entry.round : round > entry.round;
  }

  private trackGroupChanges(): void {
    const now = this.ports.clock.now();
    for (const [group, entry] of Object.entries(this.current.document.groups)) {
      this.forgetLostLog(group, entry);
      if (entry.type === "serving") this.changingSince.delete(group);
      else if (!this.changingSince.has(group)) {
        this.changingSince.set(group, now);
        this.ports.onSuperseded(group, entry.from);
      }
    }
  }

  private estimateRemainingMs(group: string): number {
    const since = this.changingSince.get(group) ?? this.ports.clock.now();
    const goneMs = this.ports.clock.now() - since;
    // One that takes longer than usual is likely to go on for a while: half as long again.
    return Math.max(minRetryDelayMs, typicalChangeMs - goneMs, goneMs / 2);
  }
}

function isSameRound(a: PromotedPrimary, b: PromotedPrimary): boolean {
  return a.group === b.group && a.round === b.round;
}
