import { emptyServingConfig, type ServingConfig } from "../direct/index.js";
import {
  applyRoutes,
  applyTargets,
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
  type RouteTable,
  type TargetListing,
} from "../feed/index.js";
import type { Proxy } from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import { TargetRecorder } from "./recorder.js";

/** What keeping the scene needs. */
export interface ServingConfigTrackerPorts {
  readonly store: Pick<PlatformFeed, "readGroupRecords" | "writeGroupRecord">;
  readonly clock: Pick<Clock, "now">;
  readonly logger: Logger;
  readonly onServingConfig: (scene: ServingConfig) => void;
}

/** Faulty teams that a log line names. */
const maxLoggedTeams = 8;

/** What a node knows of the configuration and the targets, from whomever it has it. */
export class ServingConfigTracker {
  private feed: FeedState = initialFeedState;
  private current: ServingConfig = emptyServingConfig;
  /** By entry: the field for which it names no target. */
  private loggedInvalidEntries: ReadonlyMap<string, string> = new Map();
  private readonly recorder: TargetRecorder;
  /** Whether a listing of the targets was taken in beside the records. */
  private hasCheckedRecords = false;

  constructor(private readonly ports: ServingConfigTrackerPorts) {
    this.recorder = new TargetRecorder(ports);
  }

  get servingConfig(): ServingConfig {
    return this.current;
  }

  /** Whether any configuration is known. */
  get hasRoutes(): boolean {
    return this.feed.routes !== undefined;
  }

  /** Whether routes and targets are known. */
  get isInitialised(): boolean {
    return this.hasRoutes && this.feed.hasTargetListing;
  }

  /** Whether the store's listing must be read again though nothing in it has changed. */
  get isInGracePeriod(): boolean {
    return isInGracePeriod(this.feed, this.ports.clock.now());
  }

  /** What is known, with the listed proxies, for another process. */
  encodeForPeer(proxies: readonly Proxy[]): string {
    return JSON.stringify({ scene: encodeSnapshot(this.feed), proxies });
  }

  /** Notes that the store has answered what was asked at `askedAt`. */
  recordStoreAnswer(askedAt: number): void {
    this.feed = recordStoreAnswer(this.feed, askedAt);
  }

  updateRoutes(routes: RouteTable): void {
    const before = this.feed;
    this.feed = applyRoutes(this.feed, routes);
    if (this.feed !== before) this.logInvalidTeams(routes.invalidEntries ?? []);
  }

  /** Takes in the store's listing of the targets. */
  updateTargets(listing: TargetListing): void {
    const now = this.ports.clock.now();
    this.feed = applyTargets(this.feed, listing, now);
    this.restoreFromRecords(listing, now);
    this.logInvalidEntries([...listing.invalidEntries, ...listTargetsOfUnknownGroups(this.feed)]);
  }

  /** Takes in what a peer knows; gives the proxies that it lists, or nothing where it can't be read. */
  updateFromPeer(text: string | undefined): readonly Proxy[] | undefined {
    const known = decodeServingConfig(text);
    const snapshot = decodeSnapshot(known?.scene ?? "");
    if (known === undefined || snapshot === undefined) return undefined;
    this.updateRoutes(snapshot.routes);
    const listing = { targets: snapshot.targets, invalidEntries: [] };
    this.feed = applyTargets(this.feed, listing, this.ports.clock.now());
    return known.proxies;
  }

  /** Puts what was taken in into force. */
  publish(): void {
    const before = this.current;
    this.current = buildServingConfig(this.feed);
    const { revision, databases } = this.current;
    if (revision !== before.revision) {
      const fields = { revision, databases: databases.size };
      this.ports.logger.write(nodeEvents.configurationInForce, fields);
    }
    this.ports.onServingConfig(this.current);
  }

  /** Reads what was written down of the targets, unless it is known. */
  loadRecords(): Promise<void> {
    return this.recorder.load();
  }

  /** Writes down what is known of the targets; not while missing entries may come back. */
  async updateRecords(): Promise<void> {
    if (!this.isInGracePeriod) await this.recorder.update(this.feed);
  }

  /** Adds to the first listing what was written down and is missing there. */
  private restoreFromRecords(listing: TargetListing, now: number): void {
    const { knownRecords: known } = this.recorder;
    if (this.hasCheckedRecords || known === undefined) return;
    this.hasCheckedRecords = true;
    const before = this.feed.targets.size;
    this.feed = restoreMissingTargets(this.feed, listing, known, now);
    const targets = this.feed.targets.size - before;
    if (targets > 0) this.ports.logger.write(nodeEvents.targetsRecalled, { targets });
  }

  /** One line a configuration, however many of its teams something is wrong with. */
  private logInvalidTeams(faults: readonly InvalidEntry[]): void {
    if (faults.length === 0) return;
    const first = faults.slice(0, maxLoggedTeams).map(({ name, field }) => `${name}: ${field}`);
    this.ports.logger.write(nodeEvents.teamsRefused, { count: faults.length, first });
  }

  /** Says once of each entry why it names no target: it stands in the list for as long as it likes. */
  private logInvalidEntries(refused: readonly InvalidEntry[]): void {
    const known = this.loggedInvalidEntries;
    for (const { name, field } of refused) {
      if (known.get(name) !== field)
        this.ports.logger.write(nodeEvents.entryRefused, { name, field });
    }
    this.loggedInvalidEntries = new Map(refused.map(({ name, field }) => [name, field]));
  }
}

interface EncodedServingConfig {
  readonly scene: string;
  readonly proxies: readonly Proxy[];
}

function decodeServingConfig(text: string | undefined): EncodedServingConfig | undefined {
  if (text === undefined || text === "") return undefined;
  try {
    return JSON.parse(text) as EncodedServingConfig;
  } catch {
    // A peer of another version of the program; the next one is asked.
    return undefined;
  }
}
