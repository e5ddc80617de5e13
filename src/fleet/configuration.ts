import {
  applyConfigurationEvent,
  chooseRelays,
  decodeMessage,
  encodeMessage,
  initialConfigurationState,
  isRelay,
  listChildren,
  type ConfigurationAlarm,
  type ConfigurationEffect,
  type ConfigurationEvent,
  type ConfigurationState,
  type ConfigurationUpdate,
} from "../controller/configuration/index.js";
import { fleetEvents } from "../log/events/fleet.js";
import type { Logger } from "../log/index.js";
import {
  assertInvariant,
  type Clock,
  type Configuration,
  type Disposable,
  type Json,
  type ObjectStore,
  type PeerClient,
  type PeerHello,
  type Random,
  type StoreRead,
  type Vm,
} from "../model/index.js";
import { drawPause, runLoop } from "./loop.js";
import { pushMessage } from "./push.js";
import { ConfigurationReader } from "./reader.js";
import { followConfiguration } from "./watcher.js";

const peerTimeoutMs = 1000;
const roleCheckMs = 1000;
const startRetryMs = 500;
const startPeers = 3;
const antiEntropyMs = 60_000;

/** What a `ConfigurationKeeper` needs. */
export interface ConfigurationKeeperOptions {
  /** This VM's name. */
  readonly vm: string;
  readonly store: ObjectStore;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** The VMs believed live, this one included. */
  readonly listLive: () => readonly Vm[];
}

/** Hears of each configuration that comes into force. */
export type ConfigurationListener = (configuration: Configuration) => void;

/** Keeps the configuration in force on one proxy. */
export class ConfigurationKeeper implements Disposable {
  private state: ConfigurationState = initialConfigurationState;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly ended = new AbortController();
  private watching: AbortController | undefined;
  private rolesOf: readonly Vm[] | undefined;
  private readonly reader: ConfigurationReader;

  constructor(private readonly options: ConfigurationKeeperOptions) {
    const { store, logger } = options;
    this.reader = new ConfigurationReader({
      store,
      logger,
      handle: (configuration) => {
        this.takeStored(configuration);
      },
    });
  }

  /** Resolves once the store or a peer has said what is in force; then keeps following it. */
  async start(): Promise<void> {
    const { clock, random } = this.options;
    const signal = this.ended.signal;
    const known = new AbortController();
    await runLoop(clock, AbortSignal.any([signal, known.signal]), async () => {
      await Promise.all([this.reader.read(), this.askPeers()]);
      if (this.state.isKnown) known.abort();
      return drawPause(random, startRetryMs);
    });
    void runLoop(clock, signal, () => this.checkRole());
    void runLoop(clock, signal, () => this.compareWithOthers());
  }

  /** The configuration in force; the empty one before any is known. */
  current(): Configuration {
    return this.state.inForce;
  }

  /** Whether the store or a peer has said what is in force. */
  isKnown(): boolean {
    return this.state.isKnown;
  }

  /** Tells `listener` of each greater configuration from now on. */
  subscribe(listener: ConfigurationListener): Disposable {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  }

  /** Takes a peer's push and gives the revision that is then in force here. */
  receive(json: Json): number {
    const message = decodeMessage(json);
    if (message === undefined) this.options.logger.write(fleetEvents.configurationInvalid);
    else this.offer(message.update, message.from);
    return this.state.inForce.revision;
  }

  /** What a peer gets that fetches: nothing when it has as much, unavailable when nothing is known. */
  answerFetch(afterRevision: number): StoreRead<Json> {
    const { inForce, isKnown } = this.state;
    if (!isKnown) return { type: "unavailable", reason: "no configuration is known here yet" };
    if (inForce.revision <= afterRevision) return { type: "absent" };
    return { type: "found", value: this.encode({ type: "whole", configuration: inForce }) };
  }

  /** Takes note of the revision that a peer's message carries. */
  hear(hello: PeerHello): void {
    this.apply({ type: "heard", vm: hello.vm, revision: hello.revision });
  }

  dispose(): void {
    this.ended.abort();
    this.watching?.abort();
    this.listeners.clear();
  }

  private apply(event: ConfigurationEvent): void {
    const applied = applyConfigurationEvent(this.state, event);
    if (applied.type === "failed") return;
    const before = this.state.inForce.revision;
    const after = applied.state.inForce.revision;
    // A delayed answer or a store restored from an old copy would silently take back rules that an
    // operator saw accepted. Every change of the state passes here, so one check is enough.
    assertInvariant("configurationNeverReverts", after >= before, () => `${before} to ${after}`);
    this.state = applied.state;
    for (const effect of applied.effects) this.execute(effect);
  }

  private execute(effect: ConfigurationEffect): void {
    switch (effect.type) {
      case "adopt":
        this.noteAdoption(effect.before, effect.after);
        return;
      case "relay":
        this.relay(effect.update, effect.except);
        return;
      case "fetch":
        void this.fetchFrom(effect.vm, effect.afterRevision);
        return;
      case "alarm":
        this.noteAlarm(effect.alarm);
        return;
    }
  }

  private noteAdoption(before: Configuration, after: Configuration): void {
    this.options.logger.write(fleetEvents.configurationAdopted, {
      revision: after.revision,
      before: before.revision,
      changeId: after.changeId,
    });
    for (const listener of [...this.listeners]) listener(after);
  }

  private noteAlarm(alarm: ConfigurationAlarm): void {
    const { type, ...fields } = alarm;
    const event =
      type === "storeReverted" ? fleetEvents.storeReverted : fleetEvents.revisionConflict;
    this.options.logger.write(event, fields);
  }

  private relay(update: ConfigurationUpdate, except: string | undefined): void {
    const children = listChildren(this.options.vm, this.options.listLive());
    const message = this.encode(update);
    for (const vm of children) {
      if (vm.name !== except && vm.name !== this.options.vm) void this.push(vm, message);
    }
  }

  private async push(vm: Vm, message: Json): Promise<void> {
    const signal = this.ended.signal;
    const revision = await pushMessage(this.options, vm, message, peerTimeoutMs, signal);
    if (revision !== undefined) this.apply({ type: "heard", vm: vm.name, revision });
  }

  private async fetchFrom(name: string, afterRevision: number): Promise<void> {
    const { listLive, logger } = this.options;
    logger.write(fleetEvents.configurationBehind, { vm: name, revision: afterRevision });
    const vm = listLive().find((live) => live.name === name);
    if (vm !== undefined) await this.fetchAndOffer(vm, afterRevision);
    this.apply({ type: "fetchEnded" });
  }

  private async fetchAndOffer(vm: Vm, afterRevision: number): Promise<boolean> {
    const { peers, logger } = this.options;
    const answer = await peers.fetchConfiguration(vm, afterRevision, peerTimeoutMs);
    if (answer.type !== "found") return false;
    const message = decodeMessage(answer.value);
    if (message === undefined) {
      logger.write(fleetEvents.configurationInvalid, { vm: vm.name });
      return false;
    }
    this.offer(message.update, vm.name);
    return true;
  }

  private offer(update: ConfigurationUpdate, vm: string): void {
    this.apply({ type: "offered", update, source: "peer", vm });
  }

  private takeStored(configuration: Configuration | undefined): void {
    if (configuration === undefined) this.apply({ type: "absent" });
    else this.apply({ type: "offered", update: { type: "whole", configuration }, source: "store" });
  }

  private encode(update: ConfigurationUpdate): Json {
    return encodeMessage({ from: this.options.vm, update });
  }

  /** A new proxy asks a few peers beside the store: either may be out of reach or behind. */
  private async askPeers(): Promise<void> {
    const others = this.listOthers();
    const first = Math.floor(this.options.random.draw() * others.length);
    const asked = [...others.slice(first), ...others.slice(0, first)].slice(0, startPeers);
    const wasKnown = this.state.isKnown;
    const answers = await Promise.all(asked.map((vm) => this.fetchAndOffer(vm, 0)));
    if (!wasKnown && this.reader.isStoreDown() && answers.includes(true)) {
      const { revision } = this.state.inForce;
      this.options.logger.write(fleetEvents.configurationTakenFromPeer, { revision });
    }
  }

  private listOthers(): readonly Vm[] {
    return this.options.listLive().filter(({ name }) => name !== this.options.vm);
  }

  private checkRole(): Promise<number> {
    const { vm, listLive, logger } = this.options;
    const live = listLive();
    // The list keeps its identity while nobody comes or goes.
    if (live === this.rolesOf) return Promise.resolve(roleCheckMs);
    this.rolesOf = live;
    const watches = isRelay(vm, live);
    if (watches && this.watching === undefined) {
      this.watching = new AbortController();
      logger.write(fleetEvents.watchStarted);
      void followConfiguration(this.options, this.reader, this.watching.signal);
    }
    if (!watches && this.watching !== undefined) {
      this.watching.abort();
      this.watching = undefined;
      logger.write(fleetEvents.watchStopped);
    }
    return Promise.resolve(roleCheckMs);
  }

  /**
   * A watch that went silent, or pushes lost on every path, would leave this proxy behind without a
   * sign. Relays read the store and the others ask a relay now and then, so it ends within minutes.
   */
  private async compareWithOthers(): Promise<number> {
    if (this.watching !== undefined) {
      await this.reader.read();
    } else {
      const relays = chooseRelays(this.listOthers());
      const relay = relays[Math.floor(this.options.random.draw() * relays.length)];
      if (relay !== undefined) await this.fetchAndOffer(relay, this.state.inForce.revision);
    }
    return drawPause(this.options.random, antiEntropyMs);
  }
}
