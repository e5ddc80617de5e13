import {
  typicalChangeMs,
  type AnnouncedTarget,
  type PrimarySource,
  type PrimaryState,
} from "../direct/index.js";
import { leadershipEvents } from "../log/events/leadership.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import { emptyLeadership, type GroupLeadership, type VersionedLeadership } from "./document.js";
import { extendPermit, isPermitted, noPermit, type Permit } from "./permit.js";
import type { LeadershipUpdate, PromotedPrimary } from "./ports.js";
import type { StallDetector } from "./stall.js";
import { recordContact, recordSilence, type PrimaryContact } from "./suspicion.js";

/** Dependencies of a `LeadershipTracker`. */
export interface LeadershipTrackerPorts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly stallDetector: StallDetector;
  readonly listTargets: (group: string) => readonly AnnouncedTarget[];
  /** Called when the process was suspended: times measured on its clock are no longer valid. */
  readonly onStall: () => void;
  /** Called when a statement did not reach a primary, or the primary lost commits. */
  readonly onContactFailure: () => void;
  /** Called when the replacement of a primary begins. */
  readonly onSuperseded: (group: string, target: string) => void;
  /** Called when a primary has sent nothing since `since`, when a statement was sent to it. */
  readonly onSilence: (group: string, target: string, since: number) => void;
}

interface LostLog {
  readonly target: string;
  readonly round: number;
}

/** The shortest delay after which callers are told to retry. */
const minRetryDelayMs = 50;
/** Reasons why no primary may be used, for the log and for refusals sent to callers. */
const changeUnderWay = "the primary is being replaced";
const noPermitHeld = "this proxy may not use primaries until its leadership state is confirmed";
const lostLog = "the primary has lost commits and is being replaced";
/** The shortest estimate of when the permit returns: with the next read of the store, unless it is unreachable. */
const minPermitDelayMs = 150;

/** Keeps the leadership state known to this proxy, and its permit to act on it. */
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

  /** When the last request was sent whose answer confirmed the leadership state. */
  get confirmedAt(): number | undefined {
    this.checkStall();
    return this.permit.confirmedAt;
  }

  /** Whether a suspension of the process was detected at or after `time`. */
  hasStalledSince(time: number): boolean {
    this.checkStall();
    return this.stalledAt !== undefined && this.stalledAt >= time;
  }

  /** Applies a document, and primaries promoted since. Older documents are ignored. */
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

  /** Extends the permit: the known state was confirmed by the answer to a request sent at `askedAt`. */
  confirm(askedAt: number): void {
    // A request sent before the process was suspended proves nothing about the time since.
    this.checkStall();
    if (this.stalledAt !== undefined && askedAt <= this.stalledAt) return;
    if (this.isRevoked) return;
    this.permit = extendPermit(this.permit, askedAt);
  }

  /** Records that the store answered a request sent at `askedAt`, by this or another proxy. */
  noteStoreAnswer(askedAt: number): void {
    this.checkStall();
    if (this.stalledAt !== undefined && askedAt <= this.stalledAt) return;
    this.lastStoreQueryAt = Math.max(this.lastStoreQueryAt ?? askedAt, askedAt);
  }

  /** When the last request known to be answered by the store was sent, by this or another proxy. */
  get lastAnsweredStoreQueryAt(): number | undefined {
    this.checkStall();
    return this.lastStoreQueryAt;
  }

  /**
   * Drops the permit for good. Required before this process deregisters, since changes of primary do not wait for an
   * unlisted proxy, and before it closes its peer address, at which they notify it.
   */
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
    const hasPermitNow = this.isPermitted;
    if (hasPermitNow !== this.hasPermit) {
      this.hasPermit = hasPermitNow;
      const event = hasPermitNow ? leadershipEvents.permitGained : leadershipEvents.permitLost;
      this.ports.logger.write(event, { version: this.current.version });
    }
    if (hasPermitNow) this.permitLostAt = undefined;
    if (!hasPermitNow)
      return { type: "changing", readyInMs: this.estimatePermitDelayMs(), reason: noPermitHeld };
    return this.findLeader(group);
  }

  /** Finds a group's primary by the known state, regardless of the permit. */
  findLeader(group: string): PrimaryState {
    const entry = this.current.document.groups[group];
    if (entry === undefined) return this.findAnnounced(group);
    const target = entry.type === "serving" ? entry.target : this.findPromoted(group, entry);
    if (target === undefined) {
      return {
        type: "changing",
        readyInMs: this.estimateRemainingMs(group),
        reason: changeUnderWay,
      };
    }
    const isListed = this.ports.listTargets(group).some((t) => t.name === target);
    if (isListed && !this.hasLostLog(group, target)) return { type: "serving", target };
    const reason = isListed ? lostLog : "the platform does not list the primary";
    return { type: "changing", readyInMs: typicalChangeMs, reason };
  }

  /** Finds the last known primary of a group, whether or not the platform lists it. */
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
      // It was promoted again because no other target runs; the lost commits can't be recovered.
      this.lostLogs.delete(group);
      return;
    }
    if (known === undefined)
      this.ports.logger.write(leadershipEvents.primaryLostLog, { group, target });
    this.lostLogs.set(group, { target, round });
    this.ports.onContactFailure();
  }

  /** Whether the target lost commits that it had acknowledged, as primary of the current round. */
  hasLostLog(group: string, target: string): boolean {
    const known = this.lostLogs.get(group);
    return known?.target === target && known.round === this.findRound(group);
  }

  noteSilence(group: string, target: string, since: number): void {
    if (!this.hasReached(group, target, since)) this.ports.onSilence(group, target, since);
  }

  /** Whether the target has answered a statement of this proxy at or after `since`. */
  hasReached(group: string, target: string, since: number): boolean {
    const contact = this.contacts.get(group);
    const reachedAt = contact?.target === target ? contact.reachedAt : undefined;
    return reachedAt !== undefined && reachedAt >= since;
  }

  /**
   * Records whether a primary that has been silent since `since` accepted a new connection. A failed probe is ignored
   * if the primary has answered a statement since: an overloaded one may be too slow to accept a connection.
   */
  noteProbeResult(group: string, target: string, since: number, isReached: boolean): void {
    if (isReached) this.noteContact(group, target, true);
    else if (!this.hasReached(group, target, since))
      this.contacts.set(group, recordSilence(this.contacts.get(group), target, since));
  }

  getContact(group: string): PrimaryContact | undefined {
    return this.contacts.get(group);
  }

  /** Clears a recorded loss once another target is primary. */
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

  /** Finds the primary of a group without an entry from the roles that its targets announce. */
  private findAnnounced(group: string): PrimaryState {
    const leaders = this.ports.listTargets(group).filter((t) => t.announcedRole === "primary");
    const [leader] = leaders;
    if (leader === undefined) {
      return {
        type: "changing",
        readyInMs: typicalChangeMs,
        reason: "no target announces itself as primary",
      };
    }
    if (leaders.length > 1)
      return { type: "unknown", reason: "several targets announce themselves as primary" };
    if (this.hasLostLog(group, leader.name)) {
      return { type: "changing", readyInMs: typicalChangeMs, reason: lostLog };
    }
    return { type: "serving", target: leader.name };
  }

  /**
   * Estimates when the permit returns: with the next read of the store, or later the longer it has been missing. The
   * estimate grows so that a proxy that is cut off refuses its callers instead of letting them wait in vain; they
   * can then retry at another proxy.
   */
  private estimatePermitDelayMs(): number {
    const now = this.ports.clock.now();
    this.permitLostAt ??= now;
    return Math.max(minPermitDelayMs, 2 * (now - this.permitLostAt));
  }

  private findPromoted(group: string, entry: GroupLeadership): string | undefined {
    return this.promoted.find((m) => m.group === group && m.round === entry.round)?.target;
  }

  /** Whether a promoted primary belongs to a round that the document does not show as completed. */
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
    const elapsedMs = this.ports.clock.now() - since;
    // A change that takes longer than usual is expected to take half as long again.
    return Math.max(minRetryDelayMs, typicalChangeMs - elapsedMs, elapsedMs / 2);
  }
}

function isSameRound(a: PromotedPrimary, b: PromotedPrimary): boolean {
  return a.group === b.group && a.round === b.round;
}
