import { isRelay } from "../controller/configuration/index.js";
import {
  applyMembershipEvent,
  collectNews,
  createMembershipState,
  findHelpers,
  listAllNews,
  listLive,
  listNewsAbout,
  listViews,
  markSent,
  membershipOptions,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipOptions,
  type MembershipState,
  type MemberView,
} from "../controller/membership/index.js";
import { fleetEvents } from "../log/events/fleet.js";
import type { LogEvent, Logger } from "../log/index.js";
import type {
  Address,
  Clock,
  Disposable,
  ObjectStore,
  PeerClient,
  PeerHello,
  ProbeResult,
  Random,
  Vm,
  GossipItem,
} from "../model/index.js";
import { drawPause, runLoop } from "./loop.js";

const probeTimeoutMs = 500;
const listMs = 10_000;
/** Others than relays read the list the more rarely the longer it is, so its bytes stay bounded. */
const listMsPerVm = 600;

/** What a `MembershipKeeper` needs. */
export interface MembershipKeeperOptions {
  /** This VM. */
  readonly vm: Vm;
  /** Differs between two runs and grows: `openIncarnation(Date.now())`. */
  readonly incarnation: string;
  readonly store: ObjectStore;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** The configuration revision in force here, which every message carries. */
  readonly getRevision: () => number;
  /** Hears every hello of a peer. */
  readonly onHello?: (hello: PeerHello) => void;
  /** Peers to ask when neither the store nor anybody else is known. */
  readonly seeds?: readonly Address[];
  readonly times?: MembershipOptions;
}

/** Hears of the VMs that may get new work, each time they change. */
export type MembershipListener = (live: readonly Vm[]) => void;

/** Keeps the VMs believed live, from the platform's list, probes and news. */
export class MembershipKeeper implements Disposable {
  private state: MembershipState;
  private live: readonly Vm[];
  private readonly listeners = new Set<MembershipListener>();
  private readonly ended = new AbortController();
  private readonly times: MembershipOptions;
  private isStoreDown = false;

  constructor(private readonly options: MembershipKeeperOptions) {
    const { vm, incarnation, clock } = options;
    this.times = options.times ?? membershipOptions;
    this.state = createMembershipState(vm, incarnation, clock.now());
    this.live = [vm];
  }

  /** Resolves after the first reading of the list, or after the seeds were asked; then goes on. */
  async start(): Promise<void> {
    const { clock } = this.options;
    await this.readList();
    if (this.state.members.size === 0) await this.askSeeds();
    void runLoop(clock, this.ended.signal, () => this.tick());
    void runLoop(clock, this.ended.signal, () => this.readList());
  }

  /** The VMs that may get new work, this one included while it is not leaving. */
  listLive(): readonly Vm[] {
    return this.live;
  }

  /** Every VM that is known, with its state. */
  view(): readonly MemberView[] {
    return listViews(this.state);
  }

  /** Up to `count` live VMs other than this one, those of other data centres first. */
  findHelpers(count: number): readonly Vm[] {
    return findHelpers(this.state, count);
  }

  /** What this process says of itself in an answer or beside a request: no news, so it is small. */
  describe(): PeerHello {
    const { vm, incarnation, state } = this.state.self;
    return { vm: vm.name, incarnation, state, revision: this.options.getRevision() };
  }

  /** Takes a peer's probe and answers it. */
  receive(hello: PeerHello): PeerHello {
    this.hear(hello);
    return this.describe();
  }

  /**
   * Takes what any message of a peer carried. A peer that has just started is told all that is known
   * here; one that was held for suspected or down is told that, so that it refutes it.
   */
  hear(hello: PeerHello): void {
    const known = this.state.members.get(hello.vm);
    const isSameRun = known?.incarnation === hello.incarnation;
    const about = isSameRun ? listNewsAbout(this.state, hello.vm) : [];
    this.apply({ type: "heard", now: this.options.clock.now(), hello });
    this.options.onHello?.(hello);
    if (hello.state === "starting" && !isSameRun) this.tell(hello.vm, listAllNews(this.state));
    else if (about.length > 0) this.tell(hello.vm, about);
  }

  /** Probes a VM on behalf of a peer. */
  relayProbe(vm: Vm): Promise<ProbeResult> {
    return this.options.peers.probe(vm, this.greet(vm.name), probeTimeoutMs);
  }

  /** Has a VM probed at once, since something failed towards it. */
  doubt(vm: string): void {
    this.apply({ type: "doubted", now: this.options.clock.now(), vm });
  }

  /** Changes what this process says of itself; `leaving` goes to helpers at once. */
  setState(state: PeerHello["state"]): void {
    this.apply({ type: "selfChanged", now: this.options.clock.now(), state });
    this.noteLive();
    if (state !== "leaving") return;
    for (const vm of this.findHelpers(this.times.newsPerMessage)) void this.probe(vm);
  }

  /** Tells `listener` of the live VMs whenever they change. */
  subscribe(listener: MembershipListener): Disposable {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  }

  dispose(): void {
    this.ended.abort();
    this.listeners.clear();
  }

  /** A probe's message: the news that went out least, and to `to` what is said of it. */
  private greet(to: string): PeerHello {
    const news = collectNews(this.state, this.times.newsPerMessage);
    this.state = markSent(this.state, news);
    return { ...this.describe(), news: [...news, ...listNewsAbout(this.state, to)] };
  }

  private tell(to: string, news: readonly GossipItem[]): void {
    const vm = this.state.members.get(to)?.vm;
    if (vm === undefined) return;
    const own = collectNews(this.state, 0);
    void this.send(vm, { ...this.describe(), news: [...own, ...news] }, this.state.epoch);
  }

  private apply(event: MembershipEvent): void {
    const applied = applyMembershipEvent(this.state, event, this.times);
    if (applied.type === "failed") return;
    this.state = applied.state;
    for (const effect of applied.effects) this.execute(effect);
    if (applied.effects.some(({ type }) => type === "changed")) this.noteLive();
  }

  private execute(effect: MembershipEffect): void {
    const { logger } = this.options;
    switch (effect.type) {
      case "probe":
        void this.probe(effect.vm, effect.epoch);
        return;
      case "probeThrough":
        void this.probeThrough(effect.vm, effect.via, effect.epoch);
        return;
      case "changed":
        logger.write(findEvent(effect.status), { vm: effect.vm.name });
        return;
      case "paused":
        logger.write(fleetEvents.observerPaused, { forMs: effect.forMs });
        return;
      case "isolated":
        logger.write(fleetEvents.observerIsolated);
        return;
      case "refuted":
        logger.write(fleetEvents.suspicionRefuted, { incarnation: this.state.self.incarnation });
        return;
    }
  }

  private probe(vm: Vm, epoch = this.state.epoch): Promise<void> {
    return this.send(vm, this.greet(vm.name), epoch);
  }

  private async send(vm: Vm, hello: PeerHello, epoch: number): Promise<void> {
    const result = await this.options.peers.probe(vm, hello, probeTimeoutMs);
    this.noteResult(result, vm, epoch, false);
  }

  private async probeThrough(vm: Vm, via: readonly Vm[], epoch: number): Promise<void> {
    const { peers } = this.options;
    const results = await Promise.all(
      via.map((helper) => peers.probeThrough(helper, vm, this.describe(), probeTimeoutMs)),
    );
    const answer = results.find(({ type }) => type === "answered");
    this.noteResult(answer ?? { type: "silent", reason: "through others" }, vm, epoch, true);
  }

  private noteResult(result: ProbeResult, vm: Vm, epoch: number, indirect: boolean): void {
    if (this.ended.signal.aborted) return;
    if (result.type === "answered") {
      this.hear(result.hello);
      return;
    }
    const now = this.options.clock.now();
    this.apply({ type: "silent", now, vm: vm.name, epoch, indirect });
  }

  private async tick(): Promise<number> {
    this.apply({ type: "tick", now: this.options.clock.now() });
    if (this.state.members.size === 0) await this.askSeeds();
    return this.times.tickMs;
  }

  /** With the store down at start, the settings' seeds are the only way to the others. */
  private async askSeeds(): Promise<void> {
    const { peers, seeds = [], vm } = this.options;
    const results = await Promise.all(
      seeds.map((peer) => {
        const seed: Vm = { name: "", dataCentre: vm.dataCentre, peer, state: "live" };
        return peers.probe(seed, this.greet(""), probeTimeoutMs);
      }),
    );
    for (const result of results) if (result.type === "answered") this.hear(result.hello);
  }

  private async readList(): Promise<number> {
    const { store, clock, logger, random, vm } = this.options;
    const read = await store.listVms();
    if (read.type === "found") {
      this.apply({ type: "listed", now: clock.now(), vms: read.value });
    }
    const isDown = read.type === "unavailable";
    if (isDown && !this.isStoreDown) {
      logger.write(fleetEvents.storeUnreachable, { reason: read.reason, call: "listVms" });
    }
    this.isStoreDown = isDown;
    const pause = isRelay(vm.name, this.live) ? 0 : this.live.length * listMsPerVm;
    return drawPause(random, Math.max(listMs, pause));
  }

  private noteLive(): void {
    this.live = listLive(this.state);
    for (const listener of [...this.listeners]) listener(this.live);
  }
}

function findEvent(status: Extract<MembershipEffect, { type: "changed" }>["status"]): LogEvent {
  switch (status) {
    case "alive":
      return fleetEvents.vmJoined;
    case "suspect":
      return fleetEvents.vmSuspected;
    case "leaving":
      return fleetEvents.vmLeaving;
    case "down":
      return fleetEvents.vmDown;
    case "removed":
      return fleetEvents.vmRemoved;
  }
}
