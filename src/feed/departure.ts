import type { ListedTarget } from "./feed.js";

/** Since when a target that leaves, or whose entry is missing, may have said so. Times are on the proxy's clock. */
export interface Departure {
  /** The target was known to be ready until then; -Infinity if it never was. */
  readonly readyUntil: number;
  /** When its entry was first missing from a listing; absent while it is listed. */
  readonly missingSince?: number;
}

/** The departures of a group's targets, by name. */
export type Departures = ReadonlyMap<string, Departure>;

/** What is known of targets before a listing is adopted. */
export interface KnownTargets {
  readonly targets: ReadonlyMap<string, ListedTarget>;
  readonly departures: Departures;
  /** When the request was sent whose answer showed the known listing to be the store's current one. */
  readonly currentAt: number | undefined;
}

/**
 * Derives the departures after a listing. A target may have said that it leaves at any time after it was last known to
 * be ready. `missing` are the targets that are kept although their entries are missing.
 */
export function trackDepartures(
  known: KnownTargets,
  targets: ReadonlyMap<string, ListedTarget>,
  missing: ReadonlySet<string>,
  now: number,
): Departures {
  const departures = new Map<string, Departure>();
  for (const [name, { target }] of targets) {
    const isMissing = missing.has(name);
    if (target.isLeaving !== true && !isMissing) continue;
    const before = known.departures.get(name);
    const readyUntil = before?.readyUntil ?? findReadyUntil(known, name);
    const missingSince = before?.missingSince ?? now;
    departures.set(name, { readyUntil, ...(isMissing ? { missingSince } : {}) });
  }
  return departures;
}

/** Of a target that is new, or that another process knew before, nothing tells when it was ready. */
function findReadyUntil({ targets, currentAt }: KnownTargets, name: string): number {
  return targets.has(name) && currentAt !== undefined ? currentAt : -Infinity;
}

/** A statement may arrive this long after it was sent, in milliseconds. */
const arrivalAllowanceMs = 500;

/**
 * The times at which proxies last heard from the store differ by up to this when it becomes unavailable, in
 * milliseconds: a poll, and the age of the reader's.
 */
const storeAnswerSpreadMs = 2000;

/**
 * Whether the listing is too old to tell which targets leave. Targets report to the store while it answers, so that a
 * listing from before an outage stays usable; one that was not confirmed while the store answered this or another
 * proxy does not.
 */
export function isOutdated(
  currentAt: number | undefined,
  storeAnsweredAt: number | undefined,
  drainTimeoutMs: number,
  now: number,
): boolean {
  if (currentAt === undefined || storeAnsweredAt === undefined) return false;
  if (storeAnsweredAt - currentAt <= storeAnswerSpreadMs) return false;
  return now >= currentAt + drainTimeoutMs - arrivalAllowanceMs;
}

/**
 * Whether statements sent now could reach a target after its drain timeout. One that is kept without an entry, and said
 * nothing before, has until then from when the entry was first missing.
 */
export function isPastDrain(
  { readyUntil, missingSince }: Departure,
  isLeaving: boolean,
  drainTimeoutMs: number,
  now: number,
): boolean {
  const since = isLeaving ? readyUntil : (missingSince ?? readyUntil);
  return now >= since + drainTimeoutMs - arrivalAllowanceMs;
}
