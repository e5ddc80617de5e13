import { isRelay } from "../controller/configuration/index.js";
import {
  applyMembershipEvent,
  collectNews,
  createMembershipState,
  findProbeHelpers,
  listAllNews,
  listLive,
  listNewsAbout,
  listMembers,
  markSent,
  defaultMembershipOptions,
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
import { addJitter, runLoop } from "./loop.js";

const probeTimeoutMs = 500;
/** Shortest mean interval between two reads of the platform's list of VMs. */
const listIntervalMs = 10_000;
/**
 * VMs that are not relays wait this long for each live VM between two reads of the list. The list
 * grows with the fleet, and so does the number of readers: this bounds the traffic of the reads.
 */
const listIntervalMsPerVm = 600;

/** Dependencies of a `MembershipTracker`. */
export interface MembershipTrackerOptions {
  /** This VM. */
  readonly vm: Vm;
  /** Identifies this run of the process and grows with each: `openIncarnation(Date.now())`. */
  readonly incarnation: string;
  readonly store: ObjectStore;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Returns the configuration revision in force here, which every message carries. */
  readonly getRevision: () => number;
  /** Is called with each hello received from a peer. */
  readonly onHello?: (hello: PeerHello) => void;
  /** Peers to probe while no other VM is known, for instance when the store is down at start. */
  readonly seeds?: readonly Address[];
  readonly protocolOptions?: MembershipOptions;
}

/** Is called with the VMs that may get new work each time the list changes. */
export type MembershipListener = (live: readonly Vm[]) => void;

/** Tracks which VMs are live by the platform's list, probes and gossip. */
export class MembershipTracker implements Disposable {
  private state: MembershipState;
  private live: readonly Vm[];
  private readonly listeners = new Set<MembershipListener>();
  private readonly disposeController = new AbortController();
  private readonly protocolOptions: MembershipOptions;
  private isStoreDown = false;

  constructor(private readonly options: MembershipTrackerOptions) {
    const { vm, incarnation, clock } = options;
    this.protocolOptions = options.protocolOptions ?? defaultMembershipOptions;
    this.state = createMembershipState(vm, incarnation, clock.now());
    this.live = [vm];
  }

  /**
   * Resolves after the first read of the list and, if that gave no other VM, a probe of the seeds.
   * Both go on in the background from then on.
   */
  async start(): Promise<void> {
    const { clock } = this.options;
    await this.refreshVmList();
    if (this.state.members.size === 0) await this.probeSeeds();
    void runLoop(clock, this.disposeController.signal, () => this.tick());
    void runLoop(clock, this.disposeController.signal, () => this.refreshVmList());
  }

  /**
   * Returns the VMs that may get new work, this one included unless it is leaving. The array stays
   * the same until the list changes.
   */
  listLive(): readonly Vm[] {
    return this.live;
  }

  /** Lists all known VMs with their status, this one first. */
  listMembers(): readonly MemberView[] {
    return listMembers(this.state);
  }

  /** Finds up to `count` alive VMs other than this one, those of other data centres first. */
  findProbeHelpers(count: number): readonly Vm[] {
    return findProbeHelpers(this.state, count);
  }

  /** Creates the hello that goes with answers and requests. It has no news, so that it is small. */
  createHello(): PeerHello {
    const { vm, incarnation, state } = this.state.self;
    return { vm: vm.name, incarnation, state, revision: this.options.getRevision() };
  }

  /** Applies the hello of a peer's message and returns the hello to answer with. */
  exchangeHello(hello: PeerHello): PeerHello {
    this.receiveHello(hello);
    return this.createHello();
  }

  /**
   * Applies the hello of a peer's message. A peer that has just started is sent the status of all
   * known VMs; one that is suspected or down here is sent that status, so that it can refute it.
   */
  receiveHello(hello: PeerHello): void {
    const known = this.state.members.get(hello.vm);
    const isSameRun = known?.incarnation === hello.incarnation;
    const statusNews = isSameRun ? listNewsAbout(this.state, hello.vm) : [];
    this.apply({ type: "heard", now: this.options.clock.now(), hello });
    this.options.onHello?.(hello);
    if (hello.state === "starting" && !isSameRun) this.sendNews(hello.vm, listAllNews(this.state));
    else if (statusNews.length > 0) this.sendNews(hello.vm, statusNews);
  }

  /** Probes a VM on behalf of a peer that got no answer from it. */
  probeForPeer(vm: Vm): Promise<ProbeResult> {
    return this.options.peers.probe(vm, this.createProbeHello(vm.name), probeTimeoutMs);
  }

  /** Probes a VM at once; for callers that failed to reach it. */
  requestProbe(vm: string): void {
    this.apply({ type: "doubted", now: this.options.clock.now(), vm });
  }

  /** Changes the state in this process's hellos. `leaving` is sent to some peers at once. */
  setState(state: PeerHello["state"]): void {
    this.apply({ type: "selfChanged", now: this.options.clock.now(), state });
    this.publishLive();
    if (state !== "leaving") return;
    for (const vm of this.findProbeHelpers(this.protocolOptions.newsPerMessage))
      void this.probe(vm);
  }

  /** Calls `listener` with the live VMs each time the list changes. Dispose the result to stop. */
  subscribe(listener: MembershipListener): Disposable {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  }

  dispose(): void {
    this.disposeController.abort();
    this.listeners.clear();
  }

  /**
   * Creates the hello of a probe: it carries the news sent least often so far, and any suspicion of
   * the recipient `to`, so that it can refute it.
   */
  private createProbeHello(to: string): PeerHello {
    const news = collectNews(this.state, this.protocolOptions.newsPerMessage);
    this.state = markSent(this.state, news);
    return { ...this.createHello(), news: [...news, ...listNewsAbout(this.state, to)] };
  }

  private sendNews(to: string, news: readonly GossipItem[]): void {
    const vm = this.state.members.get(to)?.vm;
    if (vm === undefined) return;
    const selfNews = collectNews(this.state, 0);
    void this.send(vm, { ...this.createHello(), news: [...selfNews, ...news] }, this.state.epoch);
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
    const answered = results.find(({ type }) => type === "answered");
    this.handleProbeResult(
      answered ?? { type: "silent", reason: "no indirect probe was answered" },
      vm,
      epoch,
      true,
    );
  }

  private handleProbeResult(result: ProbeResult, vm: Vm, epoch: number, indirect: boolean): void {
    if (this.disposeController.signal.aborted) return;
    if (result.type === "answered") {
      this.receiveHello(result.hello);
      return;
    }
    const now = this.options.clock.now();
    this.apply({ type: "silent", now, vm: vm.name, epoch, isIndirect: indirect });
  }

  private async tick(): Promise<number> {
    this.apply({ type: "tick", now: this.options.clock.now() });
    if (this.state.members.size === 0) await this.probeSeeds();
    return this.protocolOptions.probeIntervalMs;
  }

  /** The seeds in the settings are the only way to find other VMs if the store is down at start. */
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
    const pauseMs = isRelay(vm.name, this.live) ? 0 : this.live.length * listIntervalMsPerVm;
    return addJitter(random, Math.max(listIntervalMs, pauseMs));
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
