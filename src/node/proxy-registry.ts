import type { Proxy } from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Address, Clock, Random } from "../model/index.js";
import type { NodeStore } from "./ports.js";
import type { NodeSettings } from "./settings.js";

/**
 * An entry that has been marked as missed for this long is removed, in milliseconds. This is several times
 * the longest permit (1.6 s) and the poll interval (0.7 s), in which a live proxy takes its mark off, so that
 * a slow store does not cause the removal of a live proxy.
 */
const removeMissedAfterMs = 10_000;
/**
 * Proxies that see a free place register after a random delay up to this, in milliseconds; a proxy with n
 * times `minPower` draws from an n times shorter range. A listing and a write take 8 ms together, so that of
 * 20 proxies one too many registers at times; it merely has to be notified of changes of primary as well.
 */
const maxRegisterDelayMs = 1000;
/**
 * The longest delay if no proxy is listed in the data centre, as at a first start, in milliseconds. Processes
 * that have just started take some 80 ms for a listing alone; with a shorter range, 50% too many register
 * before they see one another.
 */
const maxFirstRegisterDelayMs = 4000;
/** The capacity in cores that a proxy is counted with at least. */
const minPower = 0.3;

/** The dependencies of `ProxyRegistry`. */
export interface ProxyRegistryPorts {
  readonly settings: NodeSettings;
  readonly store: Pick<NodeStore, "listProxies" | "register" | "deregister" | "removeMissed">;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** The proxies that are registered in the store, and the registration of this one. */
export class ProxyRegistry {
  private proxies: readonly Proxy[] = [];
  private isFirstListEmpty: boolean | undefined;
  /** The number of listings received from the store in a row that include this proxy. */
  private listingsSinceRegistered = 0;
  /** Whether this process has tried to register. */
  private hasTriedToRegister = false;
  /** Since when the entry certainly exists; undefined while it may not. */
  private registeredSince: number | undefined;
  /** When each entry marked as missed was first seen, by name and version. */
  private missedMarkSeenAt = new Map<string, number>();
  /** When this proxy may take a free place; undefined while there is none. */
  private registrationDueAt: number | undefined;

  constructor(private readonly ports: ProxyRegistryPorts) {}

  /** Whether the first list that this process got came from the store and was empty: no proxy ran before. */
  get wasFirstListEmpty(): boolean {
    return this.isFirstListEmpty === true;
  }

  /** All registered proxies, sorted by name, including this one. */
  list(): readonly Proxy[] {
    return this.proxies;
  }

  /** Adopts a listing of the store. */
  applyListing(proxies: readonly Proxy[]): void {
    this.isFirstListEmpty ??= proxies.length === 0;
    this.proxies = [...proxies].sort((a, b) => (a.vm < b.vm ? -1 : 1));
    this.trackMissedMarks();
    this.ports.logger.write(nodeEvents.proxiesListed, { proxies: proxies.length });
    if (!this.isRegistered()) {
      this.listingsSinceRegistered = 0;
      this.registeredSince = undefined;
      return;
    }
    this.listingsSinceRegistered += 1;
    // Without an attempt to register, the entry is that of an earlier process on this VM.
    this.registeredSince ??= this.hasTriedToRegister ? this.ports.clock.now() : -Infinity;
  }

  /** Adopts a peer's list at a start while the store is unavailable; it does not count as a listing. */
  applyPeerListing(proxies: readonly Proxy[]): void {
    this.proxies = proxies;
    this.isFirstListEmpty ??= false;
    if (this.isRegistered() && !this.hasTriedToRegister) this.registeredSince = -Infinity;
  }

  /** Reads the listing from the store; false when the store does not return one. */
  async refresh(): Promise<boolean> {
    const read = await this.ports.store.listProxies();
    if (read.type !== "found") return false;
    this.applyListing(read.value);
    return true;
  }

  /**
   * Whether this proxy has to register now, given that `quota` proxies of its data centre may be listed. An
   * unlisted proxy uses no primaries and holds no connections; other proxies run its callers' statements.
   */
  isRegistrationDue(quota: number): boolean {
    const { settings, clock, random } = this.ports;
    if (settings.peers === undefined || this.isRegistered()) return false;
    // Without a gateway address, statements can't be forwarded, so the quota does not apply.
    if (settings.gateway === undefined) return true;
    if (this.countOthersInDataCentre() >= quota) {
      this.registrationDueAt = undefined;
      return false;
    }
    // An own entry that is marked or outdated is renewed without delay.
    if (this.hasOwnEntry()) return true;
    const spread =
      this.countOthersInDataCentre() === 0 ? maxFirstRegisterDelayMs : maxRegisterDelayMs;
    const share = minPower / Math.max(minPower, settings.power);
    this.registrationDueAt ??= clock.now() + spread * share * random.draw();
    return clock.now() >= this.registrationDueAt;
  }

  /** Registers this proxy, so that each change of primary notifies it or waits for its permit to expire. */
  async register(): Promise<void> {
    const { settings, store, logger } = this.ports;
    const { vm, peers: address, dataCentre, gateway, power, linkMbps, descriptors } = settings;
    if (address === undefined || this.isRegistered()) return;
    const optional = {
      ...(gateway === undefined ? {} : { gateway }),
      ...(linkMbps === undefined ? {} : { linkMbps }),
      ...(descriptors === undefined ? {} : { descriptors }),
    };
    const own = { vm, address, dataCentre, power, ...optional };
    this.hasTriedToRegister = true;
    if (!(await store.register(own))) return;
    this.registeredSince = this.ports.clock.now();
    this.proxies = [...this.proxies.filter((p) => p.vm !== own.vm), own];
    logger.write(nodeEvents.registered, { vm: own.vm });
  }

  /** Removes this proxy's entry from the store. */
  async deregister(): Promise<void> {
    const { settings, store, logger } = this.ports;
    if (settings.peers === undefined || !this.isRegistered()) return;
    const own = { vm: settings.vm, address: settings.peers };
    const isDone = await store.deregister(own);
    logger.write(nodeEvents.deregistered, { vm: own.vm, isDone });
  }

  /**
   * Removes entries that have been marked as missed for long enough. A live proxy reads the mark at its next
   * poll and takes it off. No proxy confirms a marked one, so its permit has expired long before the removal.
   * Only one proxy does this.
   */
  async removeMissed(): Promise<void> {
    const { clock, store, logger } = this.ports;
    if (!this.isCoordinator()) return;
    for (const proxy of this.proxies) {
      const since = this.missedMarkSeenAt.get(formatEntry(proxy));
      if (since === undefined || clock.now() - since < removeMissedAfterMs) continue;
      this.missedMarkSeenAt.delete(formatEntry(proxy));
      logger.write(nodeEvents.missedProxyRemoved, { vm: proxy.vm });
      await store.removeMissed(proxy);
    }
  }

  /** Whether this is the first proxy that is not marked as missed; it does what only one has to do. */
  isCoordinator(): boolean {
    const first = this.proxies.find((proxy) => proxy.isMissed !== true);
    return first?.vm === this.ports.settings.vm;
  }

  /** Whether this proxy is listed with its current addresses and data centre, and not marked as missed. */
  isRegistered(): boolean {
    const { vm, peers, gateway, dataCentre } = this.ports.settings;
    const own = this.proxies.find((proxy) => proxy.vm === vm);
    if (own === undefined || own.isMissed === true || own.dataCentre !== dataCentre) return false;
    return isSameAddress(own.address, peers) && isSameAddress(own.gateway, gateway);
  }

  private hasOwnEntry(): boolean {
    return this.proxies.some(({ vm }) => vm === this.ports.settings.vm);
  }

  /** Counts the other listed proxies of this data centre that are not marked as missed. */
  private countOthersInDataCentre(): number {
    const { vm, dataCentre } = this.ports.settings;
    const local = this.proxies.filter((proxy) => proxy.dataCentre === dataCentre);
    return local.filter((proxy) => proxy.vm !== vm && proxy.isMissed !== true).length;
  }

  /** Whether a proxy is listed and not marked as missed. */
  hasListed(vm: string): boolean {
    return this.proxies.some((proxy) => proxy.vm === vm && proxy.isMissed !== true);
  }

  /**
   * Whether this proxy was registered before a request was sent. A proxy that replaces a primary records the
   * change in the store and then lists the proxies that it has to wait for. An answer to a request that was
   * sent before this proxy was listed may not know of the change, although the change does not wait for this
   * proxy, which would use the old primary until its permit expires.
   */
  wasRegisteredBefore(askedAt: number): boolean {
    return this.registeredSince !== undefined && this.registeredSince < askedAt;
  }

  /**
   * Whether a majority can be determined from the list. Proxies may all start at once: a listing from before
   * this proxy registered may lack others that started with it, and a few proxies would look like a majority.
   */
  get isListingComplete(): boolean {
    return this.listingsSinceRegistered > 0;
  }

  /** Records since when each marked entry has been seen with its current version. */
  private trackMissedMarks(): void {
    const now = this.ports.clock.now();
    const missed = this.proxies.filter((proxy) => proxy.isMissed === true).map(formatEntry);
    const entries = missed.map(
      (entry) => [entry, this.missedMarkSeenAt.get(entry) ?? now] as const,
    );
    this.missedMarkSeenAt = new Map(entries);
  }
}

function isSameAddress(a: Address | undefined, b: Address | undefined): boolean {
  return a?.host === b?.host && a?.port === b?.port;
}

function formatEntry({ vm, version }: Proxy): string {
  return `${vm} ${version ?? 0}`;
}
