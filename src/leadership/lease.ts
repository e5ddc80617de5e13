import { leadershipEvents } from "../log/events/leadership.js";
import type { GroupLeadership, LeadershipDocument, LeaseHolder } from "./document.js";
import type { LeadershipTracker } from "./tracker.js";
import type { LeadershipPorts } from "./ports.js";
import { editLeadership, type DocumentEdit, type EditOutcome } from "./writer.js";

/**
 * Another proxy may take the lease if its holder has not written for this long. This is more than twice the time
 * for which the holder acts without a write, to allow for slow clocks and calls.
 */
const takeOverAfterMs = 5000;
/** A holder whose last write is older than this renews the lease before it sends an order. */
const renewAfterMs = 1500;
/**
 * An order is sent at most this long after the holder's last write. The connection for it may take long, or the process
 * may be frozen meanwhile; its order would come after those of a successor.
 */
const maxOrderAgeMs = 3000;
/**
 * How long a proxy waits before it replaces a primary that another proxy has installed, from when it saw the new
 * entry. Without the delay, two proxies could alternate, each replacing the primary that the other has just made.
 */
const otherProxyDelayMs = 3200;

/**
 * How long an order that a process sent before its end may take to have its effect. A successor that ordered
 * something else earlier would be overtaken by it.
 */
const orderSettleMs = 1500;

/**
 * The lease on changes of primary: at most one proxy holds it, for all groups, by conditional updates of the
 * leadership document. Its fencing token is the store's version of the write that acquired the lease; versions
 * are unique and increase with each write.
 */
export class ChangeLease {
  private token: number | undefined;
  private lastWriteAt = -Infinity;
  private seenVersion = 0;
  private seenAt = -Infinity;
  private readonly createdAt: number;
  /** By group: the round of the serving primary, and when this proxy first saw it. */
  private readonly servingSince = new Map<
    string,
    { readonly round: number; readonly since: number }
  >();

  constructor(
    private readonly ports: LeadershipPorts,
    private readonly tracker: LeadershipTracker,
  ) {
    this.createdAt = ports.clock.now();
  }

  get isHeld(): boolean {
    return this.token !== undefined;
  }

  /** Records when the known document and its serving primaries last changed. */
  observeDocument(): void {
    const { version } = this.tracker.leadership;
    if (version === this.seenVersion) return;
    // Entries found at startup count as older than `otherProxyDelayMs`: starting the process takes longer than that.
    const since = this.seenVersion === 0 ? -Infinity : this.ports.clock.now();
    this.seenVersion = version;
    this.seenAt = this.ports.clock.now();
    for (const [group, { type, round }] of Object.entries(
      this.tracker.leadership.document.groups,
    )) {
      if (type === "serving" && this.servingSince.get(group)?.round !== round) {
        this.servingSince.set(group, { round, since });
      }
    }
  }

  /** Whether this proxy may change a group's primary; false for `otherProxyDelayMs` after another proxy did so. */
  canChangeGroup(group: string): boolean {
    const entry = this.tracker.leadership.document.groups[group];
    if (entry?.type !== "serving" || entry.by === undefined || entry.by === this.ports.vm)
      return true;
    const since = this.servingSince.get(group)?.since ?? -Infinity;
    return this.ports.clock.now() - since >= otherProxyDelayMs;
  }

  /**
   * Whether the lease may be acquired: it is free or own, its holder was an earlier process on this machine, or its
   * holder has written nothing for `takeOverAfterMs`. Only one process runs on a machine, so that an earlier one has
   * ended; a refused connection to another machine does not show that its process has.
   */
  canTakeOver(): boolean {
    const { holder } = this.tracker.leadership.document;
    if (holder === undefined || this.isOwnHolder(holder)) return true;
    const now = this.ports.clock.now();
    if (holder.vm === this.ports.vm && now - this.createdAt >= orderSettleMs) return true;
    return now - this.seenAt > takeOverAfterMs;
  }

  /**
   * Acquires the lease and begins a change. Resolves to its round, or to `undefined` if another proxy holds the
   * lease or has changed the group.
   *
   * `seenRound` is the round whose primary is suspected. If two proxies suspect the same primary, one may complete
   * its change before the other begins, with the same target as primary again. Without this check, the second would
   * replace the primary that the first has just installed.
   *
   * An earlier token is kept only if the stored document still names this process as holder. Otherwise another proxy
   * may have held the lease since, and orders with the old token would be lower than those already given.
   */
  async beginChange(group: string, from: string, seenRound: number): Promise<number | undefined> {
    const { vm, incarnation, logger } = this.ports;
    const round = seenRound + 1;
    let kept: number | undefined;
    let barrier: string | undefined;
    const outcome = await this.write((document) => {
      const { holder } = document;
      kept = holder !== undefined && this.isOwnHolder(holder) ? this.token : undefined;
      barrier = this.findBarrier(document, group, seenRound);
      if (barrier !== undefined) return undefined;
      const groups = { ...document.groups, [group]: { type: "changing", round, from } as const };
      return { holder: { vm, incarnation }, groups };
    });
    if (outcome.type !== "written") {
      const reason = outcome.type === "failed" ? `the store: ${outcome.reason}` : barrier;
      logger.write(leadershipEvents.changePrevented, { group, reason });
      return undefined;
    }
    const token = kept ?? outcome.leadership.version;
    this.token = token;
    logger.write(leadershipEvents.changeStarted, { group, from, round, token });
    return round;
  }

  /** Gets the token for an order, renewing the lease if necessary; `undefined` if the lease is lost. */
  async renew(): Promise<number | undefined> {
    if (this.token === undefined) return undefined;
    if (this.isUnlostFor(renewAfterMs)) return this.token;
    // The counter makes the document differ: writing an equal one would not change its version.
    const outcome = await this.write((document) => {
      const { holder } = document;
      if (holder === undefined || !this.isOwnHolder(holder)) return undefined;
      const renewals = (document.renewals ?? 0) + 1;
      return { ...document, renewals };
    });
    if (outcome.type !== "written") this.token = undefined;
    return this.token;
  }

  /** Whether an order with this token may still be sent: no other proxy can have acquired the lease yet. */
  canSendOrder(token: number): boolean {
    return token === this.token && this.isUnlostFor(maxOrderAgeMs);
  }

  /** Records the target as primary. Releases the lease unless another group is still being changed. */
  async endChange(group: string, round: number, target: string): Promise<EditOutcome> {
    const outcome = await this.write((document) => {
      const { holder } = document;
      if (holder === undefined || !this.isOwnHolder(holder)) return undefined;
      if (document.groups[group]?.round !== round) return undefined;
      const serving: GroupLeadership = { type: "serving", round, target, by: this.ports.vm };
      const groups = { ...document.groups, [group]: serving };
      const isOver = Object.values(groups).every((g) => g.type === "serving");
      return { holder: isOver ? undefined : holder, groups };
    });
    const isKept = outcome.type === "written" && outcome.leadership.document.holder !== undefined;
    if (!isKept) this.token = undefined;
    return outcome;
  }

  /** Whether the last write is younger than `ms` and no other proxy is known to have acquired the lease since. */
  private isUnlostFor(ms: number): boolean {
    const isRecent = this.ports.clock.now() - this.lastWriteAt < ms;
    // The monotonic clock may stop while the process is suspended, and another proxy may take the lease meanwhile.
    const isUnbroken = !this.tracker.hasStalledSince(this.lastWriteAt);
    return isRecent && isUnbroken && !this.isLost();
  }

  private isLost(): boolean {
    const { holder } = this.tracker.leadership.document;
    return holder === undefined || !this.isOwnHolder(holder);
  }

  private isOwnHolder(holder: LeaseHolder): boolean {
    return holder.vm === this.ports.vm && holder.incarnation === this.ports.incarnation;
  }

  /** What rules out that this proxy begins to change a group, for the log; `undefined` if nothing does. */
  private findBarrier(
    { holder, groups }: LeadershipDocument,
    group: string,
    seenRound: number,
  ): string | undefined {
    if (holder !== undefined && !this.isOwnHolder(holder) && !this.canTakeOver()) {
      return `${holder.vm} holds the lease`;
    }
    const round = groups[group]?.round ?? 0;
    if (round !== seenRound) return `the group is in round ${round}, not ${seenRound}`;
    return this.canChangeGroup(group) ? undefined : "another proxy has just replaced the primary";
  }

  private async write(edit: DocumentEdit): Promise<EditOutcome> {
    const outcome = await editLeadership(this.ports, this.tracker, edit, () =>
      this.observeDocument(),
    );
    if (outcome.type === "written") this.lastWriteAt = outcome.sentAt;
    return outcome;
  }
}
