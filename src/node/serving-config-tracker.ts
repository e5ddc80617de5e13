import {
  emptyServingConfig,
  listLevels,
  type AnnouncedTarget,
  type ServingConfig,
} from "../direct/index.js";
import {
  applyRoutes,
  applyTargets,
  confirmTargets,
  hasDrained,
  decodeSnapshot,
  encodeSnapshot,
  initialFeedState,
  isInGracePeriod,
  listTargetsOfUnknownGroups,
  buildServingConfig,
  recordStoreAnswer,
  restoreMissingTargets,
  type FeedState,
  type PlatformFeed,
  type InvalidEntry,
  type LevelFault,
  type RouteTable,
  type TargetListing,
} from "../feed/index.js";
import type { Proxy } from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import { TargetRecorder } from "./recorder.js";
import type { NodeSettings } from "./settings.js";

/** The dependencies of `ServingConfigTracker`. */
export interface ServingConfigTrackerPorts {
  readonly store: Pick<PlatformFeed, "readGroupRecords" | "writeGroupRecord">;
  readonly clock: Pick<Clock, "now">;
  readonly logger: Logger;
  readonly settings: Pick<NodeSettings, "targetDrainMs">;
  readonly onServingConfig: (config: ServingConfig) => void;
}

/** How many of the faulty entries a log line names. */
const maxLoggedEntries = 8;

/**
 * The configuration and the targets that a node knows, read from the store or received from a peer, and
 * the serving configuration that is built from them.
 */
export class ServingConfigTracker {
  private feed: FeedState = initialFeedState;
  private current: ServingConfig = emptyServingConfig;
  /** The invalid field by entry, as it was last logged. */
  private loggedInvalidEntries: ReadonlyMap<string, string> = new Map();
  private readonly recorder: TargetRecorder;
  /** Whether a listing has been compared with the recorded targets. */
  private hasCheckedRecords = false;

  constructor(private readonly ports: ServingConfigTrackerPorts) {
    this.recorder = new TargetRecorder(ports);
  }

  get servingConfig(): ServingConfig {
    return this.current;
  }

  /** Whether a configuration is known. */
  get hasRoutes(): boolean {
    return this.feed.routes !== undefined;
  }

  /** Whether a configuration and a listing of the targets are known. */
  get isInitialised(): boolean {
    return this.hasRoutes && this.feed.hasTargetListing;
  }

  /** Whether missing targets are kept for now, so that the listing is read again though it is unchanged. */
  get isInGracePeriod(): boolean {
    return isInGracePeriod(this.feed, this.ports.clock.now());
  }

  /** Encodes the configuration, the targets and the listed proxies for another process. */
  encodeForPeer(proxies: readonly Proxy[]): string {
    return JSON.stringify({ scene: encodeSnapshot(this.feed), proxies });
  }

  /** Records that the store answered a request sent at `askedAt`. */
  recordStoreAnswer(askedAt: number): void {
    this.feed = recordStoreAnswer(this.feed, askedAt);
  }

  /** Adopts a configuration unless it is older than the known one, and logs its faulty entries. */
  updateRoutes(routes: RouteTable): void {
    const before = this.feed;
    this.feed = applyRoutes(this.feed, routes);
    if (this.feed === before) return;
    this.logInvalidTeams(routes.invalidEntries ?? []);
    this.logInvalidLevels(routes.levelFaults ?? []);
  }

  /** Adopts the store's listing of the targets and logs its invalid entries. */
  updateTargets(listing: TargetListing): void {
    const now = this.ports.clock.now();
    this.adoptListing(listing, now);
    this.restoreFromRecords(listing, now);
    this.logInvalidEntries([...listing.invalidEntries, ...listTargetsOfUnknownGroups(this.feed)]);
  }

  /** Adopts a peer's data. Returns the proxies that it lists; undefined when the data is malformed. */
  updateFromPeer(text: string | undefined): readonly Proxy[] | undefined {
    const decoded = decodeServingConfig(text);
    const snapshot = decodeSnapshot(decoded?.scene ?? "");
    if (decoded === undefined || snapshot === undefined) return undefined;
    this.updateRoutes(snapshot.routes);
    const listing = { targets: snapshot.targets, invalidEntries: [] };
    this.adoptListing(listing, this.ports.clock.now());
    return decoded.proxies;
  }

  /** Records that the answer to a request sent at `askedAt` showed the known targets to be the store's current ones. */
  confirmTargets(askedAt: number): void {
    this.feed = confirmTargets(this.feed, askedAt);
  }

  /**
   * Whether a statement sent now could reach a target after its drain timeout. `storeAnsweredAt` is when the last request
   * was sent that the store is known to have answered.
   */
  hasDrained(target: string, storeAnsweredAt: number | undefined): boolean {
    const { settings, clock } = this.ports;
    const drainTimeoutMs = settings.targetDrainMs;
    return hasDrained(this.feed, target, { drainTimeoutMs, now: clock.now(), storeAnsweredAt });
  }

  /** Logs that the store answered, but not with its list of targets. */
  logTargetsUnreadable(reason: string): void {
    const { currentAt } = this.feed;
    const ageMs = currentAt === undefined ? null : Math.round(this.ports.clock.now() - currentAt);
    this.ports.logger.write(nodeEvents.targetsUnreadable, { reason, ageMs });
  }

  /** Builds the serving configuration from what was adopted and passes it on. */
  publish(): void {
    const before = this.current;
    this.current = buildServingConfig(this.feed);
    const { revision, databases } = this.current;
    if (revision !== before.revision) {
      const fields = { revision, databases: databases.size };
      this.ports.logger.write(nodeEvents.configurationInForce, fields);
    }
    this.logLevels(before);
    this.ports.onServingConfig(this.current);
  }

  /** Reads the recorded targets unless they are known. */
  loadRecords(): Promise<void> {
    return this.recorder.load();
  }

  /** Records the known targets in the store, except while missing entries may still reappear. */
  async updateRecords(): Promise<void> {
    if (!this.isInGracePeriod) await this.recorder.update(this.feed);
  }

  private adoptListing(listing: TargetListing, now: number): void {
    const before = this.feed;
    this.feed = applyTargets(before, listing, now);
    for (const [name, { group, target }] of this.feed.targets) {
      const wasLeaving = before.targets.get(name)?.target.isLeaving === true;
      if (target.isLeaving === true && !wasLeaving) this.logLeaving(group, target, now);
    }
  }

  private logLeaving(group: string, { name, announcedRole }: AnnouncedTarget, now: number): void {
    const readyUntil = this.feed.departures.get(name)?.readyUntil ?? -Infinity;
    const readyAgoMs = Number.isFinite(readyUntil) ? Math.round(now - readyUntil) : null;
    const fields = { group, target: name, role: announcedRole, readyAgoMs };
    this.ports.logger.write(nodeEvents.targetLeaving, fields);
  }

  /** Adds the recorded targets that are missing from the first listing. */
  private restoreFromRecords(listing: TargetListing, now: number): void {
    const { knownRecords } = this.recorder;
    if (this.hasCheckedRecords || knownRecords === undefined) return;
    this.hasCheckedRecords = true;
    const before = this.feed.targets.size;
    this.feed = restoreMissingTargets(this.feed, listing, knownRecords, now);
    const targets = this.feed.targets.size - before;
    if (targets > 0) this.ports.logger.write(nodeEvents.recordedTargetsUsed, { targets });
  }

  /** Logs a change of the levels that statements are ordered by. */
  private logLevels(before: ServingConfig): void {
    const levels = listLevels(this.current);
    const former = listLevels(before);
    if (levels.join() === former.join()) return;
    const { revision } = this.current;
    const event = levels.length === 0 ? nodeEvents.levelsCeased : nodeEvents.levelsInForce;
    this.ports.logger.write(event, { revision, levels: levels.length === 0 ? former : levels });
  }

  /** Writes one line for each configuration, however many of its levels and objectives are invalid. */
  private logInvalidLevels(faults: readonly LevelFault[]): void {
    if (faults.length === 0) return;
    const first = faults
      .slice(0, maxLoggedEntries)
      .map(({ name, field, value }) => `${name}: ${field} ${value}`);
    this.ports.logger.write(nodeEvents.levelsInvalid, { count: faults.length, first });
  }

  /** Writes one line for each configuration, however many of its entries are faulty. */
  private logInvalidTeams(entries: readonly InvalidEntry[]): void {
    if (entries.length === 0) return;
    const first = entries.slice(0, maxLoggedEntries).map(({ name, field }) => `${name}: ${field}`);
    this.ports.logger.write(nodeEvents.teamsRefused, { count: entries.length, first });
  }

  /** Logs each invalid entry once, since it may stay in the listing for an unlimited time. */
  private logInvalidEntries(entries: readonly InvalidEntry[]): void {
    const logged = this.loggedInvalidEntries;
    for (const { name, field } of entries) {
      if (logged.get(name) !== field)
        this.ports.logger.write(nodeEvents.targetEntryInvalid, { name, field });
    }
    this.loggedInvalidEntries = new Map(entries.map(({ name, field }) => [name, field]));
  }
}

/** Sent to other proxies as JSON under these field names. */
interface EncodedServingConfig {
  readonly scene: string;
  readonly proxies: readonly Proxy[];
}

function decodeServingConfig(text: string | undefined): EncodedServingConfig | undefined {
  if (text === undefined || text === "") return undefined;
  try {
    return JSON.parse(text) as EncodedServingConfig;
  } catch {
    // The peer runs another version of the program; the caller asks the next peer.
    return undefined;
  }
}
