import { leadershipEvents } from "../log/events/leadership.js";
import type { GroupLeadership, VersionedLeadership } from "./document.js";
import type { LeadershipTracker } from "./tracker.js";
import type { LeadershipPorts } from "./ports.js";
import { editLeadership, type DocumentEdit } from "./writer.js";

/**
 * A holder that has written nothing for this long may be replaced, in milliseconds; longer than the
 * holder itself acts without a write, twice over, for clocks and calls that are slow.
 */
const takeOverAfterMs = 5000;
/** A holder gives no order when its last write is older than this: it writes again first. */
const renewAfterMs = 1500;
/**
 * A group's primary is not changed by another proxy before this, in milliseconds, from when that one saw who
 * leads now. Two that take turns within a lease each act on what the other has just ended.
 */
const otherProxyDelayMs = 3200;
/**
 * The duty to order changes of primary: one holder at a time over all groups, by conditional updates
 * of the leadership document. The token is the store's version of the write that took the duty: no two
 * writes have the same, and later ones have greater ones.
 */
export class ChangeLease {
  private token: number | undefined;
  private lastWriteAt = -Infinity;
  private seenVersion = 0;
  private seenAt = -Infinity;
  /** By group: the round in which it is served, and since when that is seen. */
  private readonly servingSince = new Map<
    string,
    { readonly round: number; readonly since: number }
  >();

  constructor(
    private readonly ports: LeadershipPorts,
    private readonly tracker: LeadershipTracker,
  ) {}

  get isHeld(): boolean {
    return this.token !== undefined;
  }

  /** Notes since when the document that is held has stayed the same. */
  observeDocument(): void {
    const { version } = this.tracker.leadership;
    if (version === this.seenVersion) return;
    // What a process finds at its start is older than a lease: it has just taken longer to come up.
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

  /** Whether this proxy may change a group's primary, or another has just done so. */
  canChangeGroup(group: string): boolean {
    const entry = this.tracker.leadership.document.groups[group];
    if (entry?.type !== "serving" || entry.by === undefined || entry.by === this.ports.vm)
      return true;
    const since = this.servingSince.get(group)?.since ?? -Infinity;
    return this.ports.clock.now() - since >= otherProxyDelayMs;
  }

  /** Whether the duty may be taken: nobody holds it, or its holder has been silent for too long. */
  canTakeOver(): boolean {
    const { holder } = this.tracker.leadership.document;
    if (holder === undefined || this.isOwnHolder(holder)) return true;
    return this.ports.clock.now() - this.seenAt > takeOverAfterMs;
  }

  /**
   * Takes the duty and begins a change; gives its round, or nothing when another is at it.
   *
   * `seenRound` is the round that was suspected. Of two proxies that suspect the same primary one may be
   * done before the other begins, with the same target leading again; on the old suspicion the second
   * would replace what the first has just made.
   *
   * A token is kept only from a turn that has gone on since: another proxy may have had the duty
   * meanwhile, with a greater one, and an order under the old token would be lower than one given already.
   */
  async beginChange(group: string, from: string, seenRound: number): Promise<number | undefined> {
    const { vm, incarnation, logger } = this.ports;
    let round = 0;
    let kept: number | undefined;
    const written = await this.write((document) => {
      const { holder } = document;
      kept = holder !== undefined && this.isOwnHolder(holder) ? this.token : undefined;
      if (holder !== undefined && !this.isOwnHolder(holder) && !this.canTakeOver())
        return undefined;
      const known = document.groups[group];
      if ((known?.round ?? 0) !== seenRound || !this.canChangeGroup(group)) return undefined;
      round = seenRound + 1;
      const groups = { ...document.groups, [group]: { type: "changing", round, from } as const };
      return { holder: { vm, incarnation }, groups };
    });
    if (written === undefined) {
      logger.write(leadershipEvents.changeBarred, { group, reason: "another proxy is at it" });
      return undefined;
    }
    const token = kept ?? written.version;
    this.token = token;
    logger.write(leadershipEvents.changeBegun, { group, from, round, token });
    return round;
  }

  /** The token for an order now; nothing when the duty is lost. Writes first when that is due. */
  async renew(): Promise<number | undefined> {
    if (this.token === undefined) return undefined;
    const isFresh = this.ports.clock.now() - this.lastWriteAt < renewAfterMs;
    // While the process stands still its clock may too: another may have had the duty meanwhile.
    const isUnbroken = !this.tracker.hasStalledSince(this.lastWriteAt);
    if (isFresh && isUnbroken && !this.isLost()) return this.token;
    // Written with a changed document, since one that is the same leaves the version as it is.
    const written = await this.write((document) => {
      const { holder } = document;
      if (holder === undefined || !this.isOwnHolder(holder)) return undefined;
      const renewals = (document.renewals ?? 0) + 1;
      return { ...document, renewals };
    });
    if (written === undefined) this.token = undefined;
    return this.token;
  }

  /** Ends a change: the target leads. Gives the duty back unless another change is under way. */
  async endChange(group: string, round: number, target: string): Promise<void> {
    const written = await this.write((document) => {
      const { holder } = document;
      if (holder === undefined || !this.isOwnHolder(holder)) return undefined;
      if (document.groups[group]?.round !== round) return undefined;
      const serving: GroupLeadership = { type: "serving", round, target, by: this.ports.vm };
      const groups = { ...document.groups, [group]: serving };
      const isOver = Object.values(groups).every((g) => g.type === "serving");
      return { holder: isOver ? undefined : holder, groups };
    });
    if (written?.document.holder === undefined) this.token = undefined;
  }

  private isLost(): boolean {
    const { holder } = this.tracker.leadership.document;
    return holder === undefined || !this.isOwnHolder(holder);
  }

  private isOwnHolder(holder: { readonly vm: string; readonly incarnation: string }): boolean {
    return holder.vm === this.ports.vm && holder.incarnation === this.ports.incarnation;
  }

  private async write(edit: DocumentEdit): Promise<VersionedLeadership | undefined> {
    const written = await editLeadership(this.ports, this.tracker, edit, () =>
      this.observeDocument(),
    );
    if (written === undefined) return undefined;
    this.lastWriteAt = written.sentAt;
    return written.leadership;
  }
}
