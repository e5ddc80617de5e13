import type { AnnouncedTarget, ServingConfig } from "../direct/index.js";
import { emptyServingConfig } from "../direct/index.js";
import type { ListedTarget, InvalidEntry, RouteTable, TargetListing } from "./feed.js";

/** What a proxy knows of the platform's store. Times are on its clock, in milliseconds. */
export interface FeedState {
  readonly routes: RouteTable | undefined;
  readonly targets: ReadonlyMap<string, ListedTarget>;
  readonly hasTargetListing: boolean;
  /** When the store last answered; its entries are trusted from `trustedFrom` on. */
  readonly answeredAt: number | undefined;
  readonly graceEndsAt: number;
}

/** Before the store has answered. */
export const initialFeedState: FeedState = {
  routes: undefined,
  targets: new Map(),
  hasTargetListing: false,
  answeredAt: undefined,
  graceEndsAt: 0,
};

/** Without an answer for longer than this the store counts as away: three polls that failed. */
const outageAfterMs = 1500;
/**
 * How long after an outage a missing entry is no news: entries lapse while the store is away, and
 * those of targets that live are back within two seconds of its return.
 */
export const missingEntryGraceMs = 2500;

/** Notes an answer of the store to what was asked at `now`. */
export function recordStoreAnswer(state: FeedState, now: number): FeedState {
  const wasAway = state.answeredAt !== undefined && now - state.answeredAt > outageAfterMs;
  return {
    ...state,
    answeredAt: now,
    graceEndsAt: wasAway ? now + missingEntryGraceMs : state.graceEndsAt,
  };
}

/** Takes in a configuration. An older one than is known changes nothing: none ever comes back. */
export function applyRoutes(state: FeedState, routes: RouteTable): FeedState {
  const known = state.routes?.revision ?? 0;
  return routes.revision <= known ? state : { ...state, routes };
}

/**
 * Takes in a listing. Right after an outage targets that it lacks are kept, but none whose entry is
 * there and names no target.
 */
export function applyTargets(
  state: FeedState,
  { targets: listed, invalidEntries }: TargetListing,
  now: number,
): FeedState {
  const targets = new Map(listed.map((entry) => [entry.target.name, entry]));
  const present = new Set([...targets.keys(), ...invalidEntries.map(({ name }) => name)]);
  if (now < state.graceEndsAt) {
    for (const [name, entry] of state.targets) {
      if (!present.has(name) && !isAddressReused(entry, listed)) targets.set(name, entry);
    }
  }
  return { ...state, targets, hasTargetListing: true };
}

/** Targets of groups that the configuration does not name. Nothing is sent to them. */
export function listTargetsOfUnknownGroups({
  routes,
  targets,
}: FeedState): readonly InvalidEntry[] {
  if (routes === undefined) return [];
  const strangers = [...targets.values()].filter(({ group }) => !routes.connections.has(group));
  return strangers.map(({ target }) => ({ name: target.name, field: "group" }));
}

/** Whether the store's listing must be read again though nothing in it has changed. */
export function isInGracePeriod(state: FeedState, now: number): boolean {
  return now < state.graceEndsAt;
}

/** The scene that follows from what is known. */
export function buildServingConfig({ routes, targets }: FeedState): ServingConfig {
  if (routes === undefined) return emptyServingConfig;
  const groups = new Map<string, AnnouncedTarget[]>();
  for (const name of routes.connections.keys()) groups.set(name, []);
  for (const { group, target } of targets.values()) groups.get(group)?.push(target);
  return {
    revision: routes.revision,
    databases: routes.databases,
    groups: new Map(
      [...groups].map(([name, list]) => {
        const connections = routes.connections.get(name) ?? 1;
        return [name, { name, connections, targets: list }];
      }),
    ),
    transactionIdleMs: routes.transactionIdleMs,
    lineTimeoutMs: routes.lineTimeoutMs,
    ...(routes.roster === undefined ? {} : { roster: routes.roster }),
  };
}

/** Another target at its address: whoever was there is gone. */
export function isAddressReused(
  { target }: ListedTarget,
  listed: readonly ListedTarget[],
): boolean {
  const { host, port } = target.address;
  return listed.some(
    (other) => other.target.address.host === host && other.target.address.port === port,
  );
}
