import { leadershipEvents } from "../log/events/leadership.js";
import { compareMarkOrder } from "../model/index.js";
import type { TargetReport } from "../statement/index.js";
import { chooseContender, decideChange, type Contender, type Reachability } from "./decide.js";
import { Duty } from "./duty.js";
import { Inquiry } from "./inquiry.js";
import type { LeadershipKeeper } from "./keeper.js";
import type { LeadershipPorts } from "./ports.js";
import { findSuspicion, type Suspicion } from "./suspicion.js";
import { tellProxies, waitOutSilent, type Telling } from "./telling.js";

/** How long a planned change lets statements on their way end before the old primary steps back. */
const settleMs = 60;
/** A replica gets what the old primary holds within a few times its lag of 60 to 150 ms. */
const catchUpMs = 1500;
const catchUpStepMs = 25;
/** The platform takes some hundred milliseconds to promote, at times a second. */
const promoteTimeoutMs = 1500;
const servingTimeoutMs = 4000;
const servingStepMs = 25;
/** Targets that may turn out not to run, one after the other. */
const maxPromoteTries = 3;
/** Between two looks at one group that was kept or could not be changed. */
const lookAgainMs = 400;
/** A target announces a change of its role at once; a group without a primary for longer has none. */
const leaderlessMs = 2000;
/** Proxies that see the same failure begin at drawn times, so that one is first. */
const spreadMs = 80;

/** Replaces primaries: suspects, asks the others, takes the duty, and carries the change out. */
export class PrimaryChanger {
  private readonly working = new Set<string>();
  private readonly notBefore = new Map<string, number>();
  private readonly duty: Duty;
  private readonly inquiry: Inquiry;
  private readonly leaderlessSince = new Map<string, number>();
  private isStopped = false;

  constructor(
    private readonly ports: LeadershipPorts,
    private readonly keeper: LeadershipKeeper,
  ) {
    this.duty = new Duty(ports, keeper);
    this.inquiry = new Inquiry(ports);
  }

  /** Looks at every group; changes begin in the background. */
  look(): void {
    if (this.isStopped) return;
    this.duty.observe();
    for (const group of this.ports.listGroups()) this.lookAt(group);
  }

  /** Begins no further changes; those under way go on. */
  stop(): void {
    this.isStopped = true;
  }

  get isWorking(): boolean {
    return this.working.size > 0;
  }

  private lookAt(group: string): void {
    const { clock } = this.ports;
    const now = clock.now();
    if (this.working.has(group) || now < (this.notBefore.get(group) ?? 0)) return;
    if (!this.duty.isOwnTurn(group)) return;
    const entry = this.keeper.leadership.document.groups[group];
    if (entry?.type === "changing" && this.keeper.findLeader(group).type !== "serving") {
      if (this.duty.canTakeOver()) this.start(group, entry.from, { type: "unlisted" });
      return;
    }
    const old = this.keeper.findHeldPrimary(group);
    if (old === undefined) {
      this.lookAtLeaderless(group);
      return;
    }
    this.leaderlessSince.delete(group);
    const suspicion = this.findSuspicion(group, old);
    if (suspicion !== undefined) this.start(group, old, suspicion);
  }

  /** A group whose primary went before this process knew it: nobody else may be left who did. */
  private lookAtLeaderless(group: string): void {
    const now = this.ports.clock.now();
    const since = this.leaderlessSince.get(group) ?? now;
    this.leaderlessSince.set(group, since);
    const hasTargets = this.ports.listTargets(group).length > 0;
    if (hasTargets && now - since > leaderlessMs) this.start(group, "", { type: "unlisted" });
  }

  private findSuspicion(group: string, old: string): Suspicion | undefined {
    const listed = this.ports.listTargets(group).find((t) => t.name === old);
    const sight = {
      target: old,
      isListed: listed !== undefined,
      isLeaving: listed?.isLeaving === true,
      hasLostLog: this.keeper.hasLostLog(group, old),
      contact: this.keeper.findContact(group),
    };
    return findSuspicion(sight, this.ports.clock.now());
  }

  private start(group: string, old: string, suspicion: Suspicion): void {
    this.working.add(group);
    void this.run(group, old, suspicion)
      .catch((error: unknown) => {
        this.ports.logger.write(leadershipEvents.changeBarred, { group, reason: String(error) });
      })
      .finally(() => {
        this.working.delete(group);
        this.notBefore.set(group, this.ports.clock.now() + lookAgainMs);
      });
  }

  private async run(group: string, old: string, suspicion: Suspicion): Promise<void> {
    const { clock, random, logger } = this.ports;
    const startedAt = clock.now();
    const seen = this.keeper.leadership.document.groups[group];
    logger.write(leadershipEvents.suspected, { group, target: old, reason: suspicion.type });
    await clock.sleep(random.draw() * spreadMs);
    const isResumed = seen?.type === "changing";
    const reach = isResumed ? undefined : await this.measureReach(group, old, suspicion);
    if (reach !== undefined) {
      const decision = decideChange(suspicion, reach);
      if (decision.type === "keep") {
        logger.write(leadershipEvents.kept, { group, target: old, reason: decision.reason });
        return;
      }
    }
    const round = await this.duty.begin(group, old, seen?.round ?? 0);
    if (round === undefined) return;
    const target = await this.change(group, old, suspicion);
    if (target === undefined) return;
    await this.finish(group, round, target);
    const ms = Math.round(clock.now() - startedAt);
    logger.write(leadershipEvents.changeDone, { group, target, ms });
  }

  /** Nobody need be asked about a primary that is gone or leaving. */
  private measureReach(group: string, old: string, { type }: Suspicion): Promise<Reachability> {
    const nobody = { reaching: 0, missing: 0, silent: 0 };
    return type === "unreachable" ? this.inquiry.measureReach(group, old) : Promise.resolve(nobody);
  }

  /** Carries a change out; gives the target that leads, or nothing when it had to stop. */
  private async change(
    group: string,
    old: string,
    suspicion: Suspicion,
  ): Promise<string | undefined> {
    const begunAt = this.ports.clock.now();
    const isListed = await this.ports.refreshProxies();
    const telling = await this.tellOthers();
    if (suspicion.type === "leaving") await this.ports.clock.sleep(settleMs);
    const oldReport = await this.demote(group, old);
    await waitOutSilent(this.ports, this.keeper, begunAt, telling, isListed);
    return this.promoteBest(group, old, oldReport);
  }

  /** Promotes the best target that runs; gives the one that leads. */
  private async promoteBest(
    group: string,
    old: string,
    oldReport: TargetReport | undefined,
  ): Promise<string | undefined> {
    let reason = "no target could be promoted";
    for (let tries = 0; tries < maxPromoteTries; tries += 1) {
      const target = await this.chooseTarget(group, old, oldReport);
      if (target === undefined) {
        reason = "no target answers";
        break;
      }
      if (await this.promote(group, target)) {
        if (await this.waitServing(group, target)) return target;
        reason = "the new primary does not serve";
        break;
      }
      if (!this.duty.isHeld) {
        reason = "the duty has gone to another proxy";
        break;
      }
    }
    this.ports.logger.write(leadershipEvents.changeBarred, { group, reason });
    return undefined;
  }

  /** Tells all proxies to use the old primary no more; gives how many did not answer. */
  private async tellOthers(): Promise<Telling> {
    const { version } = this.keeper.leadership;
    const telling = await tellProxies(this.ports, this.keeper, this.inquiry.listOthers());
    const told = telling.toldAt.length;
    const silent = telling.missed.length;
    this.ports.logger.write(leadershipEvents.proxiesTold, { version, told, silent });
    return telling;
  }

  /** Makes the old primary step back, by whoever reaches it; gives where its log ended. */
  private async demote(group: string, old: string): Promise<TargetReport | undefined> {
    const status = await this.inquiry.askAll({ group, target: old, demoteRound: undefined });
    if (status === undefined) return undefined;
    const report = await this.inquiry.askAll({ group, target: old, demoteRound: status.round + 1 });
    const position = report === undefined ? null : formatReport(report);
    this.ports.logger.write(leadershipEvents.demoted, { group, target: old, position });
    return report;
  }

  /** Waits until a replica holds what the old primary held, if that is known, and chooses. */
  private async chooseTarget(
    group: string,
    old: string,
    oldReport: TargetReport | undefined,
  ): Promise<string | undefined> {
    const { clock, logger } = this.ports;
    const until = clock.now() + catchUpMs;
    for (;;) {
      const silent = oldReport === undefined ? old : undefined;
      const contenders = await this.listContenders(group, silent);
      const chosen = chooseContender(contenders, old);
      const isWhole =
        oldReport === undefined ||
        (chosen !== undefined && compareMarkOrder(chosen.report.received, oldReport.received) >= 0);
      if (isWhole || clock.now() >= until) {
        const positions = contenders.map((c) => `${c.target} ${formatReport(c.report)}`);
        logger.write(leadershipEvents.chosen, { group, target: chosen?.target ?? null, positions });
        return chosen?.target;
      }
      await clock.sleep(catchUpStepMs);
    }
  }

  /** Asks the targets that may lead; an old primary that nobody reached is not asked again. */
  private async listContenders(group: string, silent?: string): Promise<readonly Contender[]> {
    const targets = this.ports.listTargets(group).filter(({ name }) => name !== silent);
    const asked = targets.map(async ({ name, isLeaving }) => {
      const report = await this.inquiry.askAnyone({ group, target: name, demoteRound: undefined });
      return report === undefined ? [] : [{ target: name, isLeaving: isLeaving === true, report }];
    });
    return (await Promise.all(asked)).flat();
  }

  /** Orders the promotion, again while the answer is lost: the same order twice changes nothing. */
  private async promote(group: string, target: string): Promise<boolean> {
    for (let tries = 0; tries < 4; tries += 1) {
      const token = await this.duty.renew();
      if (token === undefined) return false;
      const order = { group, target, holder: this.ports.vm, token };
      const result = await this.ports.promote(order, promoteTimeoutMs);
      this.ports.logger.write(leadershipEvents.promoteAnswered, { ...order, result });
      if (result.type === "accepted") return true;
      if (result.type === "refused") return false;
    }
    return false;
  }

  /** Waits until the target says that it leads. */
  private async waitServing(group: string, target: string): Promise<boolean> {
    const { clock } = this.ports;
    const until = clock.now() + servingTimeoutMs;
    while (clock.now() < until) {
      const report = await this.inquiry.askAnyone({ group, target, demoteRound: undefined });
      if (report?.role === "primary") return true;
      await clock.sleep(servingStepMs);
    }
    return false;
  }

  /** Tells everybody who leads, before the store has it: each answer lets callers go on. */
  private async finish(group: string, round: number, target: string): Promise<void> {
    const { leadership } = this.keeper;
    this.keeper.adopt({ leadership, made: [{ group, round, target }] });
    const telling = this.tellOthers();
    await this.duty.end(group, round, target);
    await telling;
    const { missed } = await this.tellOthers();
    // One that has ended for good would be waited out by each change from now on.
    await Promise.all(missed.map((proxy) => this.ports.markMissed(proxy)));
  }
}

function formatReport({ role, received, round }: TargetReport): string {
  return `${role} ${received.term.round}.${received.offset} of ${round}`;
}
