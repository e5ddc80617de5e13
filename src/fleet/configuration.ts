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
import { addJitter, runLoop } from "./loop.js";
import { pushMessage } from "./push.js";
import { ConfigurationReader } from "./reader.js";
import { followConfiguration } from "./watcher.js";

/** Timeout of one fetch from a peer or one push to it. */
const peerTimeoutMs = 1000;
const roleCheckIntervalMs = 1000;
const startRetryPauseMs = 500;
/** Peers that a starting proxy asks at the same time as the store. */
const startPeerCount = 3;
const antiEntropyIntervalMs = 60_000;

/** Dependencies of a `ConfigurationTracker`. */
export interface ConfigurationTrackerOptions {
  /** The name of this VM. */
  readonly vm: string;
  readonly store: ObjectStore;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Lists the live VMs, this one included. Returns the same array until the list changes. */
  readonly listLive: () => readonly Vm[];
}

/** Is called with each configuration that comes into force. */
export type ConfigurationListener = (configuration: Configuration) => void;

/**
 * Keeps the configuration in force on one proxy. The relays of each data centre watch the store and
 * push each new revision down a tree of proxies; peers' messages and periodic reads reveal a
 * revision that a push failed to deliver.
 */
export class ConfigurationTracker implements Disposable {
  private state: ConfigurationState = initialConfigurationState;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly disposeController = new AbortController();
  private watchController: AbortController | undefined;
  private lastRoleCheckVms: readonly Vm[] | undefined;
  private readonly reader: ConfigurationReader;

  constructor(private readonly options: ConfigurationTrackerOptions) {
    const { store, logger } = options;
    this.reader = new ConfigurationReader({
      store,
      logger,
      onStored: (configuration) => {
        this.applyStored(configuration);
      },
    });
  }

  /** Resolves once the store or a peer has returned a configuration; then keeps it up to date. */
  async start(): Promise<void> {
    const { clock, random } = this.options;
    const signal = this.disposeController.signal;
    const knownController = new AbortController();
    await runLoop(clock, AbortSignal.any([signal, knownController.signal]), async () => {
      await Promise.all([this.reader.read(), this.fetchFromPeers()]);
      if (this.state.isKnown) knownController.abort();
      return addJitter(random, startRetryPauseMs);
    });
    void runLoop(clock, signal, () => this.updateRelayRole());
    void runLoop(clock, signal, () => this.runAntiEntropy());
  }

  /** Returns the configuration in force; an empty one of revision 0 until `isKnown`. */
  getCurrent(): Configuration {
    return this.state.inForce;
  }

  /** Whether the store or a peer has returned a configuration, or the store that it holds none. */
  isKnown(): boolean {
    return this.state.isKnown;
  }

  /** Calls `listener` with each configuration adopted from now on. Dispose the result to stop. */
  subscribe(listener: ConfigurationListener): Disposable {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  }

  /** Applies a configuration message that a peer pushed and returns the revision then in force. */
  receivePush(json: Json): number {
    const message = decodeMessage(json);
    if (message === undefined) this.options.logger.write(fleetEvents.configurationInvalid);
    else this.offerPeerUpdate(message.update, message.from);
    return this.state.inForce.revision;
  }

  /**
   * Answers a peer that fetches the configuration: `absent` if the peer's revision is not older
   * than the one in force here, `unavailable` if none is known here.
   */
  answerFetch(afterRevision: number): StoreRead<Json> {
    const { inForce, isKnown } = this.state;
    if (!isKnown)
      return { type: "unavailable", reason: "this proxy does not know the configuration yet" };
    if (inForce.revision <= afterRevision) return { type: "absent" };
    return { type: "found", value: this.encode({ type: "whole", configuration: inForce }) };
  }

  /** Compares the revision in a peer's hello with the one in force; fetches it if it is greater. */
  receiveHello(hello: PeerHello): void {
    this.apply({ type: "heard", vm: hello.vm, revision: hello.revision });
  }

  dispose(): void {
    this.disposeController.abort();
    this.watchController?.abort();
    this.listeners.clear();
  }

  private apply(event: ConfigurationEvent): void {
    const applied = applyConfigurationEvent(this.state, event);
    if (applied.type === "failed") return;
    const before = this.state.inForce.revision;
    const after = applied.state.inForce.revision;
    // A delayed answer, or a store restored from an old backup, could silently revert rules that an
    // operator was told are accepted. Every state change passes here, so one check suffices.
    assertInvariant("configurationNeverReverts", after >= before, () => `${before} to ${after}`);
    this.state = applied.state;
    for (const effect of applied.effects) this.execute(effect);
  }

  private execute(effect: ConfigurationEffect): void {
    switch (effect.type) {
      case "adopt":
        this.publishAdoption(effect.before, effect.after);
        return;
      case "relay":
        this.relay(effect.update, effect.except);
        return;
      case "fetch":
        void this.fetchFrom(effect.vm, effect.afterRevision);
        return;
      case "alarm":
        this.logAlarm(effect.alarm);
        return;
    }
  }

  private publishAdoption(before: Configuration, after: Configuration): void {
    this.options.logger.write(fleetEvents.configurationAdopted, {
      revision: after.revision,
      before: before.revision,
      changeId: after.changeId,
    });
    for (const listener of [...this.listeners]) listener(after);
  }

  private logAlarm(alarm: ConfigurationAlarm): void {
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
    const signal = this.disposeController.signal;
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
    this.offerPeerUpdate(message.update, vm.name);
    return true;
  }

  private offerPeerUpdate(update: ConfigurationUpdate, vm: string): void {
    this.apply({ type: "offered", update, source: "peer", vm });
  }

  private applyStored(configuration: Configuration | undefined): void {
    if (configuration === undefined) this.apply({ type: "absent" });
    else this.apply({ type: "offered", update: { type: "whole", configuration }, source: "store" });
  }

  private encode(update: ConfigurationUpdate): Json {
    return encodeMessage({ from: this.options.vm, update });
  }

  /** A starting proxy asks some peers besides the store: either may be unreachable or outdated. */
  private async fetchFromPeers(): Promise<void> {
    const others = this.listOthers();
    const offset = Math.floor(this.options.random.draw() * others.length);
    const chosen = [...others.slice(offset), ...others.slice(0, offset)].slice(0, startPeerCount);
    const wasKnown = this.state.isKnown;
    const wasFetched = await Promise.all(chosen.map((vm) => this.fetchAndOffer(vm, 0)));
    if (!wasKnown && this.reader.isStoreDown() && wasFetched.includes(true)) {
      const { revision } = this.state.inForce;
      this.options.logger.write(fleetEvents.configurationTakenFromPeer, { revision });
    }
  }

  private listOthers(): readonly Vm[] {
    return this.options.listLive().filter(({ name }) => name !== this.options.vm);
  }

  private updateRelayRole(): Promise<number> {
    const { vm, listLive, logger } = this.options;
    const live = listLive();
    // `listLive` returns the same array until the list changes.
    if (live === this.lastRoleCheckVms) return Promise.resolve(roleCheckIntervalMs);
    this.lastRoleCheckVms = live;
    const isWatcher = isRelay(vm, live);
    if (isWatcher && this.watchController === undefined) {
      this.watchController = new AbortController();
      logger.write(fleetEvents.watchStarted);
      void followConfiguration(this.options, this.reader, this.watchController.signal);
    }
    if (!isWatcher && this.watchController !== undefined) {
      this.watchController.abort();
      this.watchController = undefined;
      logger.write(fleetEvents.watchStopped);
    }
    return Promise.resolve(roleCheckIntervalMs);
  }

  /**
   * Finds updates that neither a watch nor a push delivered. A watch that stalls without an error,
   * or pushes lost on every path, would leave this proxy on an old revision without any sign.
   * Relays periodically read the store and other proxies ask a relay, so that this lasts minutes at
   * most.
   */
  private async runAntiEntropy(): Promise<number> {
    if (this.watchController !== undefined) {
      await this.reader.read();
    } else {
      const relays = chooseRelays(this.listOthers());
      const relay = relays[Math.floor(this.options.random.draw() * relays.length)];
      if (relay !== undefined) await this.fetchAndOffer(relay, this.state.inForce.revision);
    }
    return addJitter(this.options.random, antiEntropyIntervalMs);
  }
}
