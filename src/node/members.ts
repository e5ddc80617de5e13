import type { Proxy } from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Address, Clock, Random } from "../model/index.js";
import type { NodeStore } from "./ports.js";
import type { NodeSettings } from "./settings.js";

/**
 * An entry that was marked for so long is removed, in milliseconds: several times the longest permission
 * (1.6 s) and the looks of a proxy that lives (0.7 s), so that a slow store does not take one out.
 */
const missedMs = 10_000;
/**
 * Proxies that see a free place take it at drawn times up to this, in milliseconds; one with several times
 * `leastPower` several times sooner. A listing and a write take 8 ms together, so that of 20 one comes too
 * many at times, which costs no more than its being told of changes of primary.
 */
const registerSpreadMs = 1000;
/**
 * The same where nobody is listed in the data centre, as at a first start. Processes that have just been
 * started take some 80 ms for a listing alone: drawn over less, half as many again register before they see one another.
 */
const firstRegisterSpreadMs = 4000;
/** In cores; what one has that does not say. */
const leastPower = 0.3;

/** What the list of proxies needs of the world. */
export interface MembersPorts {
  readonly settings: NodeSettings;
  readonly store: Pick<NodeStore, "listProxies" | "register" | "deregister" | "removeMissed">;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** The proxies that are registered in the store, and this one's place among them. */
export class Members {
  private proxies: readonly Proxy[] = [];
  /** Listings that were read whole since this proxy was in the store. */
  private listingsAsMember = 0;
  /** Whether this process has tried to put itself into the store. */
  private hasTriedToRegister = false;
  /** Since when it certainly is there; absent while it may not be. */
  private memberSince: number | undefined;
  private missedSince = new Map<string, number>();
  /** When this proxy may take a place that it has seen free; absent while there is none. */
  private registerDueAt: number | undefined;

  constructor(private readonly ports: MembersPorts) {}

  /** All registered proxies by name, this one included. */
  list(): readonly Proxy[] {
    return this.proxies;
  }

  /** Takes in a listing of the store. */
  take(proxies: readonly Proxy[]): void {
    this.proxies = [...proxies].sort((a, b) => (a.vm < b.vm ? -1 : 1));
    this.noteMissed();
    this.ports.logger.write(nodeEvents.proxiesListed, { proxies: proxies.length });
    if (!this.isRegistered()) {
      this.listingsAsMember = 0;
      this.memberSince = undefined;
      return;
    }
    this.listingsAsMember += 1;
    // An entry that an earlier process on this VM left has been there all the while.
    this.memberSince ??= this.hasTriedToRegister ? this.ports.clock.now() : -Infinity;
  }

  /** Takes in what a peer lists, at a start while the store is away. It is no listing of the store's. */
  copy(proxies: readonly Proxy[]): void {
    this.proxies = proxies;
    if (this.isRegistered() && !this.hasTriedToRegister) this.memberSince = -Infinity;
  }

  /** Reads anew which proxies there are; false when the store does not say. */
  async refresh(): Promise<boolean> {
    const read = await this.ports.store.listProxies();
    if (read.type !== "found") return false;
    this.take(read.value);
    return true;
  }

  /**
   * Whether this proxy is to put itself into the store, where `quota` proxies of its data centre may be listed.
   * One that is not listed uses no primary and holds no connections; others run its callers' statements.
   */
  isRegistrationDue(quota: number): boolean {
    const { settings, clock, random } = this.ports;
    if (settings.peers === undefined || this.isRegistered()) return false;
    // It forwards its statements to nobody.
    if (settings.gateway === undefined) return true;
    if (this.countNear() >= quota) {
      this.registerDueAt = undefined;
      return false;
    }
    // It was listed before.
    if (this.hasOwnEntry()) return true;
    const spread = this.countNear() === 0 ? firstRegisterSpreadMs : registerSpreadMs;
    const share = leastPower / Math.max(leastPower, settings.power);
    this.registerDueAt ??= clock.now() + spread * share * random.draw();
    return clock.now() >= this.registerDueAt;
  }

  /** A proxy that is not listed would not be waited for by a change of primary. */
  async register(): Promise<void> {
    const { settings, store, logger } = this.ports;
    const { vm, peers: address, dataCentre, gateway, power } = settings;
    if (address === undefined || this.isRegistered()) return;
    const place = gateway === undefined ? {} : { gateway };
    const own = { vm, address, dataCentre, power, ...place };
    this.hasTriedToRegister = true;
    if (!(await store.register(own))) return;
    this.memberSince = this.ports.clock.now();
    this.proxies = [...this.proxies.filter((p) => p.vm !== own.vm), own];
    logger.write(nodeEvents.registered, { vm: own.vm });
  }

  /** Takes this proxy out of the store. */
  async deregister(): Promise<void> {
    const { settings, store, logger } = this.ports;
    if (settings.peers === undefined || !this.isRegistered()) return;
    const own = { vm: settings.vm, address: settings.peers };
    const isDone = await store.deregister(own);
    logger.write(nodeEvents.deregistered, { vm: own.vm, isDone });
  }

  /**
   * Removes entries that were marked for long: their proxies read the mark at their next look at the
   * store and would have taken it off. From the mark on nobody confirms them either, so that their
   * permission is over long before. One proxy does it for all.
   */
  async removeMissed(): Promise<void> {
    const { clock, store, logger } = this.ports;
    if (!this.isFirst()) return;
    for (const proxy of this.proxies) {
      const since = this.missedSince.get(formatEntry(proxy));
      if (since === undefined || clock.now() - since < missedMs) continue;
      this.missedSince.delete(formatEntry(proxy));
      logger.write(nodeEvents.missedProxyRemoved, { vm: proxy.vm });
      await store.removeMissed(proxy);
    }
  }

  /** Whether this proxy does what one has to do for all: the first that nobody has missed. */
  isFirst(): boolean {
    const first = this.proxies.find((proxy) => proxy.isMissed !== true);
    return first?.vm === this.ports.settings.vm;
  }

  /** Whether this proxy is listed, and nobody has missed it. */
  isRegistered(): boolean {
    const { vm, peers, gateway, dataCentre } = this.ports.settings;
    const own = this.proxies.find((proxy) => proxy.vm === vm);
    if (own === undefined || own.isMissed === true || own.dataCentre !== dataCentre) return false;
    return isSameAddress(own.address, peers) && isSameAddress(own.gateway, gateway);
  }

  private hasOwnEntry(): boolean {
    return this.proxies.some(({ vm }) => vm === this.ports.settings.vm);
  }

  /** The other proxies of this data centre that are listed, and that nobody has missed. */
  private countNear(): number {
    const { vm, dataCentre } = this.ports.settings;
    const near = this.proxies.filter((proxy) => proxy.dataCentre === dataCentre);
    return near.filter((proxy) => proxy.vm !== vm && proxy.isMissed !== true).length;
  }

  /** Whether a proxy is listed, and nobody has missed it. */
  has(vm: string): boolean {
    return this.proxies.some((proxy) => proxy.vm === vm && proxy.isMissed !== true);
  }

  /**
   * Whether this proxy was in the store before a question was asked. Whoever replaces a primary writes
   * that down and then lists the proxies that it waits for. An answer to what was asked earlier than
   * this one was listed may know nothing of the change, though nobody waits for this proxy; it would use
   * the old primary for as long as its permission lasts.
   */
  isMemberBefore(askedAt: number): boolean {
    return this.memberSince !== undefined && this.memberSince < askedAt;
  }

  /**
   * Whether the list can tell a majority. All start at once: a listing from before this proxy was in the
   * store may lack those that came with it, and a few of them would look like a majority.
   */
  get isWhole(): boolean {
    return this.listingsAsMember > 0;
  }

  /** Notes since when the entries that are marked have been seen so, unchanged. */
  private noteMissed(): void {
    const now = this.ports.clock.now();
    const missed = this.proxies.filter((proxy) => proxy.isMissed === true).map(formatEntry);
    const entries = missed.map((entry) => [entry, this.missedSince.get(entry) ?? now] as const);
    this.missedSince = new Map(entries);
  }
}

function isSameAddress(a: Address | undefined, b: Address | undefined): boolean {
  return a?.host === b?.host && a?.port === b?.port;
}

function formatEntry({ vm, version }: Proxy): string {
  return `${vm} ${version ?? 0}`;
}
