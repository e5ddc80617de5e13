import type { AnnouncedTarget, ServingConfig } from "../direct/index.js";
import { emptyServingConfig, hasLevels } from "../direct/index.js";
import type { Address } from "../model/index.js";
import { isOutdated, isPastDrain, trackDepartures, type Departures } from "./departure.js";
import type { ListedTarget, InvalidEntry, RouteTable, TargetListing } from "./feed.js";

/** The configuration and targets that a proxy knows. Times are on its own clock, in milliseconds. */
export interface FeedState {
  readonly routes: RouteTable | undefined;
  readonly targets: ReadonlyMap<string, ListedTarget>;
  readonly hasTargetListing: boolean;
  /** Of the targets that leave, and of those that are kept although their entries are missing. */
  readonly departures: Departures;
  /**
   * When the request was sent whose answer showed the known listing to be the store's current one; undefined before
   * that. A target that is listed as ready may have said since then that it leaves.
   */
  readonly currentAt: number | undefined;
  /** When the last request that the store answered was sent. */
  readonly answeredAt: number | undefined;
  /** Until then a target stays known although its entry is missing from the listing. */
  readonly graceEndsAt: number;
}

/** The state before the store has answered. */
export const initialFeedState: FeedState = {
  routes: undefined,
  targets: new Map(),
  hasTargetListing: false,
  departures: new Map(),
  currentAt: undefined,
  answeredAt: undefined,
  graceEndsAt: 0,
};

/** A gap between answers that counts as an outage of the store; three polls have failed by then. */
const outageAfterMs = 1500;
/**
 * How long after an outage missing entries are ignored. Entries expire while the store is unavailable,
 * and those of live targets reappear within two seconds of its return.
 */
export const missingEntryGraceMs = 2500;

/** Records that the store answered a request sent at `now`; starts a grace period after an outage. */
export function recordStoreAnswer(state: FeedState, now: number): FeedState {
  const wasUnavailable = state.answeredAt !== undefined && now - state.answeredAt > outageAfterMs;
  return {
    ...state,
    answeredAt: now,
    graceEndsAt: wasUnavailable ? now + missingEntryGraceMs : state.graceEndsAt,
  };
}

/**
 * Adopts a configuration unless a newer one is known, so that a stale answer never reverts it. Of the same
 * revision it adopts one with levels, or with synchronous groups, if the known one says nothing of them: that one
 * came from a peer of a build that does not know them.
 */
export function applyRoutes(state: FeedState, routes: RouteTable): FeedState {
  const known = state.routes;
  const isNewer = routes.revision > (known?.revision ?? 0);
  const isSame = routes.revision === known?.revision;
  const addsLevels = isSame && hasLevels(routes) && !hasLevels(known);
  const addsSynchronous =
    isSame && routes.synchronousGroups !== undefined && known.synchronousGroups === undefined;
  return isNewer || addsLevels || addsSynchronous ? { ...state, routes } : state;
}

/**
 * Adopts a listing of the targets. In the grace period after an outage, known targets that are missing
 * from it are kept, unless their entry exists and is invalid or another target has their address.
 */
export function applyTargets(
  state: FeedState,
  { targets: listed, invalidEntries }: TargetListing,
  now: number,
): FeedState {
  const targets = new Map(listed.map((entry) => [entry.target.name, entry]));
  const present = new Set([...targets.keys(), ...invalidEntries.map(({ name }) => name)]);
  const missing = new Set<string>();
  if (now < state.graceEndsAt) {
    for (const [name, entry] of state.targets) {
      if (present.has(name) || isAddressReused(entry, listed)) continue;
      targets.set(name, entry);
      missing.add(name);
    }
  }
  const departures = trackDepartures(state, targets, missing, now);
  return { ...state, targets, departures, hasTargetListing: true };
}

/** Records that the answer to a request sent at `askedAt` showed the known listing to be the store's current one. */
export function confirmTargets(state: FeedState, askedAt: number): FeedState {
  const currentAt = Math.max(state.currentAt ?? askedAt, askedAt);
  return { ...state, currentAt };
}

/** What decides whether a target may have left. Times are on the proxy's clock, in milliseconds. */
export interface DrainQuery {
  readonly drainTimeoutMs: number;
  readonly now: number;
  /** When the last request was sent that the store answered, to this or another proxy; undefined if none is known. */
  readonly storeAnsweredAt: number | undefined;
}

/** Whether a statement sent now could reach a target after its drain timeout, as far as is known. */
export function hasDrained(
  { targets, departures, currentAt }: FeedState,
  name: string,
  { drainTimeoutMs, now, storeAnsweredAt }: DrainQuery,
): boolean {
  const departure = departures.get(name);
  if (departure === undefined) return isOutdated(currentAt, storeAnsweredAt, drainTimeoutMs, now);
  const isLeaving = targets.get(name)?.target.isLeaving === true;
  return isPastDrain(departure, isLeaving, drainTimeoutMs, now);
}

/** Lists the targets whose group the configuration does not have. Nothing is sent to them. */
export function listTargetsOfUnknownGroups({
  routes,
  targets,
}: FeedState): readonly InvalidEntry[] {
  if (routes === undefined) return [];
  const unknown = [...targets.values()].filter(({ group }) => !routes.connections.has(group));
  return unknown.map(({ target }) => ({ name: target.name, field: "group" }));
}

/** Whether missing targets are kept for now, so that the listing is read again though it is unchanged. */
export function isInGracePeriod(state: FeedState, now: number): boolean {
  return now < state.graceEndsAt;
}

/** Builds the serving configuration from the known routes and targets; empty without routes. */
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
        const isSynchronous = routes.synchronousGroups?.has(name) === true;
        return [
          name,
          { name, connections, targets: list, ...(isSynchronous && { isSynchronous }) },
        ];
      }),
    ),
    transactionIdleMs: routes.transactionIdleMs,
    lineTimeoutMs: routes.lineTimeoutMs,
    ...(routes.roster === undefined ? {} : { roster: routes.roster }),
  };
}

/** Whether a listed target has this target's address, which means that this target is gone. */
export function isAddressReused(
  { target }: ListedTarget,
  listed: readonly ListedTarget[],
): boolean {
  return listed.some((other) => hasSameAddress(other.target.address, target.address));
}

/** Whether two addresses are equal. */
export function hasSameAddress(a: Address, b: Address): boolean {
  return a.host === b.host && a.port === b.port;
}
