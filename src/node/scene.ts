import { emptyServingConfig, type ServingConfig } from "../direct/index.js";
import {
  applyRoutes,
  applyTargets,
  decodeSnapshot,
  encodeSnapshot,
  firstFeedState,
  isAwaitingReturn,
  listStrangers,
  makeScene,
  noteStoreAnswer,
  recallTargets,
  type FeedState,
  type PlatformFeed,
  type RefusedEntry,
  type RouteTable,
  type TargetListing,
} from "../feed/index.js";
import type { Proxy } from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import { TargetRecorder } from "./recorder.js";

/** What keeping the scene needs. */
export interface SceneKeeperPorts {
  readonly store: Pick<PlatformFeed, "readRecords" | "writeRecord">;
  readonly clock: Pick<Clock, "now">;
  readonly logger: Logger;
  readonly onScene: (scene: ServingConfig) => void;
}

/** Faulty teams that a log line names. */
const maxNamedFaults = 8;

/** What a node knows of the configuration and the targets, from whomever it has it. */
export class SceneKeeper {
  private feed: FeedState = firstFeedState;
  private current: ServingConfig = emptyServingConfig;
  /** By entry: the field for which it names no target. */
  private refusedEntries: ReadonlyMap<string, string> = new Map();
  private readonly recorder: TargetRecorder;
  /** Whether a listing of the targets was taken in beside the records. */
  private hasListed = false;

  constructor(private readonly ports: SceneKeeperPorts) {
    this.recorder = new TargetRecorder(ports);
  }

  get scene(): ServingConfig {
    return this.current;
  }

  /** Whether any configuration is known. */
  get hasRoutes(): boolean {
    return this.feed.routes !== undefined;
  }

  /** Whether routes and targets are known. */
  get isInformed(): boolean {
    return this.hasRoutes && this.feed.hasTargets;
  }

  /** Whether the store's listing must be read again though nothing in it has changed. */
  get isAwaitingReturn(): boolean {
    return isAwaitingReturn(this.feed, this.ports.clock.now());
  }

  /** What is known, with the listed proxies, for another process. */
  encode(proxies: readonly Proxy[]): string {
    return JSON.stringify({ scene: encodeSnapshot(this.feed), proxies });
  }

  /** Notes that the store has answered what was asked at `askedAt`. */
  noteStoreAnswer(askedAt: number): void {
    this.feed = noteStoreAnswer(this.feed, askedAt);
  }

  takeRoutes(routes: RouteTable): void {
    const before = this.feed;
    this.feed = applyRoutes(this.feed, routes);
    if (this.feed !== before) this.logTeamFaults(routes.faults ?? []);
  }

  /** Takes in the store's listing of the targets. */
  takeTargets(listing: TargetListing): void {
    const now = this.ports.clock.now();
    this.feed = applyTargets(this.feed, listing, now);
    this.recall(listing, now);
    this.logRefused([...listing.refused, ...listStrangers(this.feed)]);
  }

  /** Takes in what a peer knows; gives the proxies that it lists, or nothing where it can't be read. */
  takeSnapshot(text: string | undefined): readonly Proxy[] | undefined {
    const known = decodeScene(text);
    const snapshot = decodeSnapshot(known?.scene ?? "");
    if (known === undefined || snapshot === undefined) return undefined;
    this.takeRoutes(snapshot.routes);
    const listing = { targets: snapshot.targets, refused: [] };
    this.feed = applyTargets(this.feed, listing, this.ports.clock.now());
    return known.proxies;
  }

  /** Puts what was taken in into force. */
  publish(): void {
    const before = this.current;
    this.current = makeScene(this.feed);
    const { revision, databases } = this.current;
    if (revision !== before.revision) {
      const fields = { revision, databases: databases.size };
      this.ports.logger.write(nodeEvents.configurationInForce, fields);
    }
    this.ports.onScene(this.current);
  }

  /** Reads what was written down of the targets, unless it is known. */
  loadRecords(): Promise<void> {
    return this.recorder.load();
  }

  /** Writes down what is known of the targets; not while missing entries may come back. */
  async updateRecords(): Promise<void> {
    if (!this.isAwaitingReturn) await this.recorder.update(this.feed);
  }

  /** Adds to the first listing what was written down and is missing there. */
  private recall(listing: TargetListing, now: number): void {
    const { known } = this.recorder;
    if (this.hasListed || known === undefined) return;
    this.hasListed = true;
    const before = this.feed.targets.size;
    this.feed = recallTargets(this.feed, listing, known, now);
    const targets = this.feed.targets.size - before;
    if (targets > 0) this.ports.logger.write(nodeEvents.recordedTargetsUsed, { targets });
  }

  /** One line a configuration, however many of its teams something is wrong with. */
  private logTeamFaults(faults: readonly RefusedEntry[]): void {
    if (faults.length === 0) return;
    const first = faults.slice(0, maxNamedFaults).map(({ name, field }) => `${name}: ${field}`);
    this.ports.logger.write(nodeEvents.teamsRefused, { count: faults.length, first });
  }

  /** Says once of each entry why it names no target: it stands in the list for as long as it likes. */
  private logRefused(refused: readonly RefusedEntry[]): void {
    const known = this.refusedEntries;
    for (const { name, field } of refused) {
      if (known.get(name) !== field)
        this.ports.logger.write(nodeEvents.targetEntryInvalid, { name, field });
    }
    this.refusedEntries = new Map(refused.map(({ name, field }) => [name, field]));
  }
}

interface EncodedScene {
  readonly scene: string;
  readonly proxies: readonly Proxy[];
}

function decodeScene(text: string | undefined): EncodedScene | undefined {
  if (text === undefined || text === "") return undefined;
  try {
    return JSON.parse(text) as EncodedScene;
  } catch {
    // A peer of another version of the program; the next one is asked.
    return undefined;
  }
}
