import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore, type Address, type Disposable } from "../../../src/model/index.js";
import { StandinLineTarget, StandinLog, type StandinMember } from "../../direct/index.js";
import { FaultyLink } from "../../link.js";
import type { BackendCommand, LagCommand, SupersededWrite } from "./commands.js";
import { formatGroup, type SoakSite } from "./site.js";
import { thawSlackMs } from "./superseded-check.js";

/** A target of a group, as the store's entries and the nodes see it. */
export interface BackendTarget {
  readonly target: StandinLineTarget;
  /** What nodes connect to, so that a target can be silent without the kernel closing its connections. */
  readonly link: FaultyLink;
  readonly zone: string;
  isRunning: boolean;
  /** Whether its heartbeats reach the store. */
  isAnnouncing: boolean;
  isLeaving: boolean;
  /** When the store accepted that it leaves, in milliseconds since the epoch. */
  leaveAcceptedAt: number | undefined;
}

/** How long a target may get statements after the store has accepted that it leaves, in milliseconds. */
export const drainTimeoutMs = 7000;
const acceptPollMs = 20;
/** How long before the end of a cut the other targets crash, and for how long, in milliseconds. */
const crashBeforeHealMs = 300;
const aloneMs = 4500;
/** How long a replica receives nothing before the others crash, in milliseconds. */
const deafMs = 2000;
/** A superseded primary becomes a replica within this time after it can reach its successor, in milliseconds. */
const demoteAfterMs = 1000;

/** The targets of one group and their log, with the faults that strike them. Times are in milliseconds. */
export class BackendGroup implements Disposable {
  readonly name: string;
  readonly log = new StandinLog();
  private readonly owned = new DisposableStore();
  private members: readonly BackendTarget[] = [];
  private started = 0;
  /** The ids of primaries that no replica receives from. */
  private readonly isolated = new Set<string>();
  /** By target: until when what nodes sent to it was last held up, in milliseconds since the epoch. */
  private readonly heldUntil = new Map<string, number>();

  constructor(
    private readonly site: SoakSite,
    private readonly index: number,
    isLinked: (fromZone: string, toZone: string) => boolean,
    /** Called when a target's entry has changed, or is to go because of its silence. */
    private readonly onChange: () => void,
    /** Called when a statement outside a transaction, or the first of one, reaches a target. */
    private readonly onArrival: (target: BackendTarget, statement: string) => void,
  ) {
    this.name = formatGroup(index);
    this.log.lagMs = site.lagMs;
    this.log.syncReplicas = site.syncReplicas;
    this.log.isLinked = (from, to) =>
      !this.isolated.has(from.id) && isLinked(this.findZone(from), this.findZone(to));
  }

  async start(): Promise<void> {
    const timer = setInterval(() => this.demoteSuperseded(), demoteAfterMs);
    this.owned.defer(() => clearInterval(timer));
    const zones = this.site.targetZones ?? this.site.zones;
    for (let i = 0; i < this.site.targetsPerGroup; i += 1) {
      await this.addTarget(zones[i % zones.length] ?? "", i === 0 ? "primary" : "replica");
    }
  }

  get targets(): readonly BackendTarget[] {
    return this.members;
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  findPrimary(): BackendTarget | undefined {
    const id = this.log.findPrimary()?.id;
    return this.members.find(({ target }) => target.id === id);
  }

  /** Orders the promotion of a running target, which takes effect after the site's time; false if it does not run. */
  async promote(id: string): Promise<boolean> {
    const named = this.members.find(({ target }) => target.id === id);
    if (named?.isRunning !== true) return false;
    const { promoteMs, promoteAnswerMs } = this.site;
    setTimeout(() => this.finishPromotion(named), promoteMs);
    await sleep(promoteAnswerMs);
    return true;
  }

  private finishPromotion({ target, isRunning }: BackendTarget): void {
    if (!isRunning) return;
    this.log.promote(target.id);
    this.onChange();
  }

  /** Ends the primary as a crash does, and starts it again with its log. */
  async crashPrimary(forMs: number): Promise<void> {
    const primary = this.findPrimary();
    if (primary !== undefined) await this.crash(primary, forMs);
  }

  private async crash(crashed: BackendTarget, forMs: number): Promise<void> {
    if (!crashed.isRunning) return;
    crashed.isRunning = false;
    await crashed.target.crash();
    await sleep(forMs);
    await crashed.target.restart();
    this.log.demoteSuperseded(crashed.target.member);
    crashed.isRunning = true;
    this.onChange();
  }

  /** Cuts the primary off; the other targets crash just before the cut is over, so that it comes back alone. */
  async isolatePrimary(forMs: number): Promise<void> {
    const primary = this.findPrimary();
    const cut = this.darkenPrimary(forMs);
    await sleep(Math.max(0, forMs - crashBeforeHealMs));
    const others = this.members.filter((member) => member !== primary);
    await Promise.all([cut, ...others.map((member) => this.crash(member, aloneMs))]);
  }

  /** One replica receives nothing; the primary and the other replicas crash meanwhile, and these are back first. */
  async crashAllButDeaf(forMs: number): Promise<void> {
    const [deaf, ...others] = this.members.filter((member) => member !== this.findPrimary());
    if (deaf === undefined) return;
    deaf.target.member.isReceiving = false;
    await sleep(deafMs);
    await Promise.all([
      this.crashPrimary(forMs),
      ...others.map((member) => this.crash(member, forMs / 2)),
    ]);
    deaf.target.member.isReceiving = true;
    this.log.replicate();
  }

  /** Cuts the primary off from all nodes: its connections stay open. */
  async silencePrimary(forMs: number): Promise<void> {
    const primary = this.findPrimary();
    if (primary === undefined) return;
    this.heldUntil.set(primary.target.id, Date.now() + forMs);
    primary.link.setFlow("hold", "hold");
    await sleep(forMs);
    primary.link.clearFaults();
  }

  /** The writes that superseded primaries committed, except what was held up on its way to them. */
  listSuperseded(): readonly SupersededWrite[] {
    const isHeld = ({ member, at }: SupersededWrite) =>
      at < (this.heldUntil.get(member) ?? -Infinity) + thawSlackMs;
    return this.log.superseded.filter((write) => !isHeld(write));
  }

  /** Takes the primary's power: its connections stay open, its heartbeats end and no replica receives from it. */
  async darkenPrimary(forMs: number): Promise<void> {
    await Promise.all([
      this.silencePrimary(forMs),
      this.cutPrimaryFromStore(forMs),
      this.cutPrimaryFromReplicas(forMs),
    ]);
  }

  async losePrimaryAnswers(forMs: number): Promise<void> {
    const primary = this.findPrimary();
    if (primary === undefined) return;
    primary.target.faults.loseAnswer = /[0-7]$/;
    await sleep(forMs);
    primary.target.faults.loseAnswer = undefined;
  }

  async cutPrimaryFromReplicas(forMs: number): Promise<void> {
    const id = this.findPrimary()?.target.id ?? "";
    this.isolated.add(id);
    await sleep(forMs);
    this.isolated.delete(id);
    this.log.replicate();
  }

  async cutPrimaryFromStore(forMs: number): Promise<void> {
    const primary = this.findPrimary();
    if (primary === undefined) return;
    primary.isAnnouncing = false;
    await sleep(forMs);
    primary.isAnnouncing = true;
    this.onChange();
  }

  async slowTargets(factor: number, forMs: number): Promise<void> {
    const affected = this.members;
    for (const { target } of affected) target.faults.slowness = factor;
    await sleep(forMs);
    for (const { target } of affected) target.faults.slowness = 1;
  }

  /** The first replica, or all, fall behind by `lagMs`; without it they receive nothing. */
  async lagReplicas({ isAll, lagMs, forMs }: LagCommand): Promise<void> {
    const replicas = this.members
      .map(({ target }) => target.member)
      .filter(({ role }) => role === "replica");
    const affected = isAll ? replicas : replicas.slice(0, 1);
    for (const member of affected) {
      if (lagMs === undefined) member.isReceiving = false;
      else member.extraLagMs = lagMs;
    }
    await sleep(forMs);
    for (const member of affected) {
      if (lagMs === undefined) member.isReceiving = true;
      else member.extraLagMs = 0;
    }
    this.log.replicate();
  }

  /** Replaces the primary, or all targets one after the other: a new one starts, the old one drains and ends. */
  async replaceTargets({
    isPrimaryOnly,
    gapMs,
    lingerMs,
  }: Extract<BackendCommand, { readonly type: "replaceTargets" }>): Promise<void> {
    const primary = this.findPrimary();
    const leaving = isPrimaryOnly ? (primary === undefined ? [] : [primary]) : this.members;
    const replaced: Promise<void>[] = [];
    for (const old of leaving) {
      replaced.push(this.replaceTarget(old, lingerMs));
      await sleep(gapMs);
    }
    await Promise.all(replaced);
  }

  private demoteSuperseded(): void {
    const primary = this.log.findPrimary();
    if (primary === undefined || this.findPrimary()?.isRunning !== true) return;
    for (const { target, isRunning } of this.members) {
      const { member } = target;
      const isInTouch = this.log.isLinked(member, primary) && this.log.isLinked(primary, member);
      if (isRunning && isInTouch) this.log.demoteSuperseded(member);
    }
  }

  private async replaceTarget(old: BackendTarget, lingerMs: number): Promise<void> {
    await this.addTarget(old.zone, "replica");
    this.log.replicate();
    old.isLeaving = true;
    this.onChange();
    while (old.leaveAcceptedAt === undefined) await sleep(acceptPollMs);
    await sleep(drainTimeoutMs + lingerMs);
    old.isRunning = false;
    await old.target.crash();
    this.members = this.members.filter((member) => member !== old);
    this.onChange();
  }

  private async addTarget(zone: string, role: StandinMember["role"]): Promise<void> {
    const { site, log } = this;
    const id = `i-${this.index}-${this.started}`;
    this.started += 1;
    const onArrival = (statement: string) => {
      const arrivedAt = this.members.find((member) => member.target === target);
      if (arrivedAt !== undefined) this.onArrival(arrivedAt, statement);
    };
    const target: StandinLineTarget = new StandinLineTarget(id, role, log, {
      service: this.name,
      slots: site.slots,
      queue: site.queue,
      maxConnections: site.connections,
      connectMs: site.connectMs,
      getWorkMs: findWorkMs,
      keepsRuns: false,
      onArrival,
    });
    await target.start();
    this.owned.add(target);
    const link = this.owned.add(new FaultyLink(() => target.address));
    await link.start();
    const state = { isRunning: true, isAnnouncing: true, isLeaving: false };
    this.members = [...this.members, { target, link, zone, ...state, leaveAcceptedAt: undefined }];
    this.onChange();
  }

  private findZone({ id }: StandinMember): string {
    return this.members.find(({ target }) => target.id === id)?.zone ?? "";
  }
}

/** The address at which nodes reach a target. */
export function findTargetAddress({ link }: BackendTarget): Address {
  return link.address;
}

/** How long a statement takes: its item is named after it, such as `30-17` for 30 ms. */
function findWorkMs(text: string): number {
  const item = / (\d+)-\d+/.exec(text);
  return item === null ? 0 : Number(item[1]);
}
