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
  VmNews,
} from "../model/index.js";
import { addJitter, runLoop } from "./loop.js";

const probeTimeoutMs = 500;
const listIntervalMs = 10_000;
/** Others than relays read the list the more rarely the longer it is, so its bytes stay bounded. */
const listIntervalMsPerVm = 600;

/** What a `MembershipKeeper` needs. */
export interface MembershipTrackerOptions {
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
  readonly protocolOptions?: MembershipOptions;
}

/** Hears of the VMs that may get new work, each time they change. */
export type MembershipListener = (live: readonly Vm[]) => void;

/** Keeps the VMs believed live, from the platform's list, probes and news. */
export class MembershipTracker implements Disposable {
  private state: MembershipState;
  private live: readonly Vm[];
  private readonly listeners = new Set<MembershipListener>();
  private readonly disposeController = new AbortController();
  private readonly protocolOptions: MembershipOptions;
  private isStoreDown = false;

  constructor(private readonly options: MembershipTrackerOptions) {
    const { vm, incarnation, clock } = options;
    this.protocolOptions = options.protocolOptions ?? membershipOptions;
    this.state = createMembershipState(vm, incarnation, clock.now());
    this.live = [vm];
  }

  /** Resolves after the first reading of the list, or after the seeds were asked; then goes on. */
  async start(): Promise<void> {
    const { clock } = this.options;
    await this.refreshVmList();
    if (this.state.members.size === 0) await this.probeSeeds();
    void runLoop(clock, this.disposeController.signal, () => this.tick());
    void runLoop(clock, this.disposeController.signal, () => this.refreshVmList());
  }

  /** The VMs that may get new work, this one included while it is not leaving. */
  listLive(): readonly Vm[] {
    return this.live;
  }

  /** Every VM that is known, with its state. */
  listMembers(): readonly MemberView[] {
    return listViews(this.state);
  }

  /** Up to `count` live VMs other than this one, those of other data centres first. */
  findProbeHelpers(count: number): readonly Vm[] {
    return findHelpers(this.state, count);
  }

  /** What this process says of itself in an answer or beside a request: no news, so it is small. */
  createHello(): PeerHello {
    const { vm, incarnation, state } = this.state.self;
    return { vm: vm.name, incarnation, state, revision: this.options.getRevision() };
  }

  /** Takes a peer's probe and answers it. */
  answerProbe(hello: PeerHello): PeerHello {
    this.receiveHello(hello);
    return this.createHello();
  }

  /**
   * Takes what any message of a peer carried. A peer that has just started is told all that is known
   * here; one that was held for suspected or down is told that, so that it refutes it.
   */
  receiveHello(hello: PeerHello): void {
    const known = this.state.members.get(hello.vm);
    const isSameRun = known?.incarnation === hello.incarnation;
    const about = isSameRun ? listNewsAbout(this.state, hello.vm) : [];
    this.apply({ type: "heard", now: this.options.clock.now(), hello });
    this.options.onHello?.(hello);
    if (hello.state === "starting" && !isSameRun) this.sendNews(hello.vm, listAllNews(this.state));
    else if (about.length > 0) this.sendNews(hello.vm, about);
  }

  /** Probes a VM on behalf of a peer. */
  probeForPeer(vm: Vm): Promise<ProbeResult> {
    return this.options.peers.probe(vm, this.createProbeHello(vm.name), probeTimeoutMs);
  }

  /** Has a VM probed at once, since something failed towards it. */
  requestProbe(vm: string): void {
    this.apply({ type: "doubted", now: this.options.clock.now(), vm });
  }

  /** Changes what this process says of itself; `leaving` goes to helpers at once. */
  setState(state: PeerHello["state"]): void {
    this.apply({ type: "selfChanged", now: this.options.clock.now(), state });
    this.publishLive();
    if (state !== "leaving") return;
    for (const vm of this.findProbeHelpers(this.protocolOptions.newsPerMessage))
      void this.probe(vm);
  }

  /** Tells `listener` of the live VMs whenever they change. */
  subscribe(listener: MembershipListener): Disposable {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  }

  dispose(): void {
    this.disposeController.abort();
    this.listeners.clear();
  }

  /** A probe's message: the news that went out least, and to `to` what is said of it. */
  private createProbeHello(to: string): PeerHello {
    const news = collectNews(this.state, this.protocolOptions.newsPerMessage);
    this.state = markSent(this.state, news);
    return { ...this.createHello(), news: [...news, ...listNewsAbout(this.state, to)] };
  }

  private sendNews(to: string, news: readonly VmNews[]): void {
    const vm = this.state.members.get(to)?.vm;
    if (vm === undefined) return;
    const own = collectNews(this.state, 0);
    void this.send(vm, { ...this.createHello(), news: [...own, ...news] }, this.state.epoch);
  }

  private apply(event: MembershipEvent): void {
    const applied = applyMembershipEvent(this.state, event, this.protocolOptions);
    if (applied.type === "failed") return;
    this.state = applied.state;
    for (const effect of applied.effects) this.execute(effect);
    if (applied.effects.some(({ type }) => type === "changed")) this.publishLive();
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
        logger.write(chooseLogEvent(effect.status), { vm: effect.vm.name });
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
    return this.send(vm, this.createProbeHello(vm.name), epoch);
  }

  private async send(vm: Vm, hello: PeerHello, epoch: number): Promise<void> {
    const result = await this.options.peers.probe(vm, hello, probeTimeoutMs);
    this.handleProbeResult(result, vm, epoch, false);
  }

  private async probeThrough(vm: Vm, via: readonly Vm[], epoch: number): Promise<void> {
    const { peers } = this.options;
    const results = await Promise.all(
      via.map((helper) => peers.probeThrough(helper, vm, this.createHello(), probeTimeoutMs)),
    );
    const answer = results.find(({ type }) => type === "answered");
    this.handleProbeResult(answer ?? { type: "silent", reason: "through others" }, vm, epoch, true);
  }

  private handleProbeResult(result: ProbeResult, vm: Vm, epoch: number, indirect: boolean): void {
    if (this.disposeController.signal.aborted) return;
    if (result.type === "answered") {
      this.receiveHello(result.hello);
      return;
    }
    const now = this.options.clock.now();
    this.apply({ type: "silent", now, vm: vm.name, epoch, indirect });
  }

  private async tick(): Promise<number> {
    this.apply({ type: "tick", now: this.options.clock.now() });
    if (this.state.members.size === 0) await this.probeSeeds();
    return this.protocolOptions.tickMs;
  }

  /** With the store down at start, the settings' seeds are the only way to the others. */
  private async probeSeeds(): Promise<void> {
    const { peers, seeds = [], vm } = this.options;
    const results = await Promise.all(
      seeds.map((peer) => {
        const seed: Vm = { name: "", dataCentre: vm.dataCentre, peer, state: "live" };
        return peers.probe(seed, this.createProbeHello(""), probeTimeoutMs);
      }),
    );
    for (const result of results) if (result.type === "answered") this.receiveHello(result.hello);
  }

  private async refreshVmList(): Promise<number> {
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
    const pause = isRelay(vm.name, this.live) ? 0 : this.live.length * listIntervalMsPerVm;
    return addJitter(random, Math.max(listIntervalMs, pause));
  }

  private publishLive(): void {
    this.live = listLive(this.state);
    for (const listener of [...this.listeners]) listener(this.live);
  }
}

function chooseLogEvent(
  status: Extract<MembershipEffect, { type: "changed" }>["status"],
): LogEvent {
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
