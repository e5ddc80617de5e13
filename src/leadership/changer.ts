import type { AnnouncedTarget } from "../direct/index.js";
import { leadershipEvents } from "../log/events/leadership.js";
import type { TargetReport } from "../statement/index.js";
import { decideChange, type Reachability } from "./decide.js";
import { ChangeLease } from "./lease.js";
import { TargetInquirer } from "./inquirer.js";
import type { LeadershipTracker } from "./tracker.js";
import type { LeadershipPorts } from "./ports.js";
import { CandidateChooser, formatReport, type ChangeUnderWay } from "./chooser.js";
import { GroupMembers } from "./members.js";
import { PrimaryPromoter } from "./promotion.js";
import { findSuspicion, type Suspicion } from "./suspicion.js";
import { notifyProxies, waitForPermitExpiry, type NotificationResult } from "./notification.js";

/** How long a planned change lets statements in flight end before it demotes the old primary. */
const statementDrainMs = 60;
/** Delay until the record of a new primary is written again after the store failed, in milliseconds. */
const recordRetryMs = 400;
/** Delay until a group is checked again after its primary was kept, replaced or could not be replaced. */
const recheckDelayMs = 400;
/** The longest such pause after a primary has been kept several times in a row, in milliseconds. */
const maxRecheckDelayMs = 1600;
/** Targets announce a change of role at once, so a group in which none is primary for longer has lost its primary. */
const leaderlessTimeoutMs = 2000;
/** Upper limit of a random delay, so that of several proxies that see the same failure one starts first. */
const maxStartDelayMs = 80;

/** A primary, and its data centre when it was last listed. */
interface ListedPrimary {
  readonly target: string;
  readonly dataCentre: string;
}

/** Replaces primaries: detects a failure, asks the other proxies, acquires the lease and carries out the change. */
export class PrimaryChanger {
  private readonly changingGroups = new Set<string>();
  /** By group: how often its primary was kept in a row, and when it had last answered. */
  private readonly kept = new Map<string, { times: number; reachedAt: number | undefined }>();
  private readonly nextCheckAt = new Map<string, number>();
  private readonly lease: ChangeLease;
  private readonly inquirer: TargetInquirer;
  private readonly members: GroupMembers;
  private readonly chooser: CandidateChooser;
  private readonly promoter: PrimaryPromoter;
  private readonly leaderlessSince = new Map<string, number>();
  /** By group: where its primary was when last listed; the entry of one that is replaced is often gone. */
  private readonly lastPrimaries = new Map<string, ListedPrimary>();
  private isStopped = false;

  constructor(
    private readonly ports: LeadershipPorts,
    private readonly tracker: LeadershipTracker,
  ) {
    this.lease = new ChangeLease(ports, tracker);
    this.inquirer = new TargetInquirer(ports);
    this.members = new GroupMembers(ports, this.inquirer);
    this.chooser = new CandidateChooser(ports, this.inquirer, this.members);
    this.promoter = new PrimaryPromoter(ports, this.lease, this.inquirer, this.chooser);
  }

  /** Checks every group; changes run in the background. */
  checkGroups(): void {
    if (this.isStopped) return;
    this.lease.observeDocument();
    for (const group of this.ports.listGroups()) this.checkSafely(group);
  }

  /** Checks one group, so that an unexpected error there doesn't keep the others from being checked. */
  private checkSafely(group: string): void {
    try {
      this.notePrimary(group);
      if (this.ports.isSynchronous(group)) this.observeMembers(group);
      this.checkGroup(group);
    } catch (error) {
      this.ports.logger.write(leadershipEvents.changePrevented, { group, reason: String(error) });
    }
  }

  /** Lists the targets of a synchronous group whose entries are gone and whose logs may still be needed. */
  listFormerTargets(group: string): readonly AnnouncedTarget[] {
    return this.members.listFormer(group);
  }

  /** Prevents further changes; those under way continue. */
  stop(): void {
    this.isStopped = true;
  }

  get isChanging(): boolean {
    return this.changingGroups.size > 0;
  }

  /** Records where a group's primary is, also while this proxy may not replace it. */
  private notePrimary(group: string): void {
    const target = this.tracker.findKnownPrimary(group);
    const listed = this.ports.listTargets(group).find(({ name }) => name === target);
    if (listed === undefined) return;
    this.lastPrimaries.set(group, { target: listed.name, dataCentre: listed.dataCentre });
  }

  private observeMembers(group: string): void {
    const leader = this.changingGroups.has(group) ? undefined : this.tracker.findLeader(group);
    this.members.observe(group, leader?.type === "serving" ? leader.target : undefined);
  }

  private checkGroup(group: string): void {
    const { clock } = this.ports;
    const now = clock.now();
    if (this.changingGroups.has(group) || now < (this.nextCheckAt.get(group) ?? 0)) return;
    if (!this.lease.canChangeGroup(group)) return;
    const entry = this.tracker.leadership.document.groups[group];
    if (entry?.type === "changing" && this.tracker.findLeader(group).type !== "serving") {
      if (this.lease.canTakeOver()) this.startChange(group, entry.from, { type: "unlisted" });
      return;
    }
    const oldTarget = this.tracker.findKnownPrimary(group);
    if (oldTarget === undefined) {
      this.checkLeaderlessGroup(group);
      return;
    }
    this.leaderlessSince.delete(group);
    const suspicion = this.findSuspicion(group, oldTarget);
    if (suspicion !== undefined) this.startChange(group, oldTarget, suspicion);
  }

  /** Handles a group whose primary failed before this process knew it; perhaps no remaining proxy knew it. */
  private checkLeaderlessGroup(group: string): void {
    const now = this.ports.clock.now();
    const since = this.leaderlessSince.get(group) ?? now;
    this.leaderlessSince.set(group, since);
    const hasTargets = this.ports.listTargets(group).length > 0;
    if (hasTargets && now - since > leaderlessTimeoutMs)
      this.startChange(group, "", { type: "unlisted" });
  }

  private findSuspicion(group: string, oldTarget: string): Suspicion | undefined {
    const listed = this.ports.listTargets(group).find((t) => t.name === oldTarget);
    const observation = {
      target: oldTarget,
      isListed: listed !== undefined,
      isLeaving: listed?.isLeaving === true,
      hasLostLog: this.tracker.hasLostLog(group, oldTarget),
      contact: this.tracker.getContact(group),
    };
    return findSuspicion(observation, this.ports.clock.now());
  }

  private startChange(group: string, oldTarget: string, suspicion: Suspicion): void {
    this.changingGroups.add(group);
    void this.runChange(group, oldTarget, suspicion)
      .catch((error: unknown) => {
        this.ports.logger.write(leadershipEvents.changePrevented, { group, reason: String(error) });
      })
      .finally(() => {
        this.changingGroups.delete(group);
        this.nextCheckAt.set(group, this.ports.clock.now() + this.computeRecheckDelayMs(group));
      });
  }

  /** Counts how often a primary was kept in a row without having answered this proxy in between. */
  private noteKept(group: string): void {
    const reachedAt = this.tracker.getContact(group)?.reachedAt;
    const known = this.kept.get(group);
    const times = known?.reachedAt === reachedAt ? (known?.times ?? 0) + 1 : 1;
    this.kept.set(group, { times, reachedAt });
  }

  private computeRecheckDelayMs(group: string): number {
    const times = this.kept.get(group)?.times ?? 1;
    return Math.min(maxRecheckDelayMs, recheckDelayMs * 2 ** (times - 1));
  }

  private async runChange(group: string, oldTarget: string, suspicion: Suspicion): Promise<void> {
    const { clock, random, logger } = this.ports;
    const startedAt = clock.now();
    const seen = this.tracker.leadership.document.groups[group];
    logger.write(leadershipEvents.suspected, { group, target: oldTarget, reason: suspicion.type });
    await clock.sleep(random.draw() * maxStartDelayMs);
    const isResumed = seen?.type === "changing";
    if (isResumed && (await this.resumePromoted(group, seen.round))) return;
    const reach = isResumed
      ? undefined
      : await this.measureReachability(group, oldTarget, suspicion);
    if (reach !== undefined) {
      const decision = decideChange(suspicion, reach);
      const reason =
        decision.type === "keep"
          ? decision.reason
          : await this.findReasonToKeep(group, oldTarget, suspicion);
      if (reason !== undefined) {
        logger.write(leadershipEvents.primaryKept, { group, target: oldTarget, reason });
        this.noteKept(group);
        return;
      }
    }
    this.kept.delete(group);
    const round = await this.lease.beginChange(group, oldTarget, seen?.round ?? 0);
    if (round === undefined) return;
    const isOldLogWhole = isResumed
      ? this.promoter.hasLeftLogWhole(group, seen.round)
      : suspicion.type !== "emptied";
    const target = await this.executeChange({ group, round, oldTarget, isOldLogWhole }, suspicion);
    if (target === undefined) return;
    await this.finishChange(group, round, target);
    const ms = Math.round(clock.now() - startedAt);
    logger.write(leadershipEvents.changeDone, { group, target, ms });
  }

  /** Finishes a change of this process whose order took effect after all; false if it did not. */
  private async resumePromoted(group: string, round: number): Promise<boolean> {
    const target = await this.promoter.findPromoted(group, round);
    if (target === undefined) return false;
    await this.finishChange(group, round, target);
    return true;
  }

  /** Why a primary that should be replaced is kept for now all the same; `undefined` if it is replaced. */
  private async findReasonToKeep(
    group: string,
    oldTarget: string,
    suspicion: Suspicion,
  ): Promise<string | undefined> {
    if (!(await this.canJudge(group, oldTarget, suspicion)))
      return "no other target of the group answers either";
    if (suspicion.type !== "leaving" || !this.ports.isSynchronous(group)) return undefined;
    return (await this.chooser.hasCompleteSuccessor(group, oldTarget))
      ? undefined
      : "no target that stays has received all of its log";
  }

  /**
   * Whether this proxy can judge an unreachable primary: another target of the group must answer it. While
   * processors are busy, the answers of all targets come late. Replacing every primary then would interrupt all
   * callers, and each new primary would be as slow as the one before.
   */
  private canJudge(group: string, oldTarget: string, { type }: Suspicion): Promise<boolean> {
    if (type !== "unreachable") return Promise.resolve(true);
    const others = this.ports.listTargets(group).filter(({ name }) => name !== oldTarget);
    if (others.length === 0) return Promise.resolve(true);
    return this.inquirer.reachesAny(
      group,
      others.map(({ name }) => name),
    );
  }

  /** Asks the other proxies only if the primary is unreachable; the other reasons do not depend on them. */
  private measureReachability(
    group: string,
    oldTarget: string,
    { type }: Suspicion,
  ): Promise<Reachability> {
    const noAnswers = { reaching: 0, notReaching: 0, silent: 0 };
    return type === "unreachable"
      ? this.inquirer.measureReachability(group, oldTarget)
      : Promise.resolve(noAnswers);
  }

  /** Carries out a change; resolves to the new primary, or to `undefined` if the change was given up. */
  private async executeChange(
    change: Omit<ChangeUnderWay, "oldDataCentre" | "oldReport">,
    suspicion: Suspicion,
  ): Promise<string | undefined> {
    const { group, oldTarget } = change;
    const changeStartedAt = this.ports.clock.now();
    const isListed = await this.ports.refreshProxies();
    const notified = await this.notifyOthers();
    if (suspicion.type === "leaving") await this.ports.clock.sleep(statementDrainMs);
    const oldReport = await this.demoteOldPrimary(group, oldTarget);
    await waitForPermitExpiry(this.ports, this.tracker, changeStartedAt, notified, isListed);
    const last = this.lastPrimaries.get(group);
    const oldDataCentre = last?.target === oldTarget ? last.dataCentre : undefined;
    return this.promoter.promoteBestCandidate({ ...change, oldDataCentre, oldReport });
  }

  /** Sends the leadership state to all other proxies, so that they stop using an old primary. */
  private async notifyOthers(): Promise<NotificationResult> {
    const { version } = this.tracker.leadership;
    const outcome = await notifyProxies(this.ports, this.tracker, this.inquirer.listOtherProxies());
    const told = outcome.notifiedAt.length;
    const silent = outcome.unanswered.length;
    this.ports.logger.write(leadershipEvents.proxiesNotified, { version, told, silent });
    return outcome;
  }

  /** Demotes the old primary through any proxy that reaches it; resolves to its report, with the end of its log. */
  private async demoteOldPrimary(
    group: string,
    oldTarget: string,
  ): Promise<TargetReport | undefined> {
    const status = await this.inquirer.askThroughAll({
      group,
      target: oldTarget,
      demoteRound: undefined,
    });
    if (status === undefined) return undefined;
    const report = await this.inquirer.askThroughAll({
      group,
      target: oldTarget,
      demoteRound: status.round + 1,
    });
    const position = report === undefined ? null : formatReport(report);
    this.ports.logger.write(leadershipEvents.demoted, { group, target: oldTarget, position });
    return report;
  }

  /** Announces the new primary before the store records it, so that the other proxies can serve callers sooner. */
  private async finishChange(group: string, round: number, target: string): Promise<void> {
    const { leadership } = this.tracker;
    this.tracker.adopt({ leadership, promoted: [{ group, round, target }] });
    const notified = this.notifyOthers();
    await this.recordPrimary(group, round, target);
    await notified;
    const { unanswered } = await this.notifyOthers();
    // Without the mark, every later change would wait for a proxy that has terminated.
    await Promise.all(unanswered.map((proxy) => this.ports.markMissed(proxy)));
  }

  /**
   * Writes the new primary to the store, again while the store fails: the lease is held until then, and other proxies
   * would resume the change and demote the target that serves. Those that missed the announcement hear it meanwhile.
   */
  private async recordPrimary(group: string, round: number, target: string): Promise<void> {
    for (;;) {
      const { type } = await this.lease.endChange(group, round, target);
      if (type !== "failed" || this.isStopped) return;
      await this.notifyOthers();
      await this.ports.clock.sleep(recordRetryMs);
    }
  }
}
