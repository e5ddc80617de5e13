import type { AnnouncedTarget } from "../direct/index.js";
import type { Json } from "../model/index.js";
import type { GroupRecord, ListedTarget, TargetListing } from "./feed.js";
import { isAddressReused, missingEntryGraceMs, type FeedState } from "./state.js";

/** Writes a group's targets in an order of their own, so that equal ones give equal records. */
export function encodeGroupTargets(targets: readonly AnnouncedTarget[]): Json {
  const sorted = [...targets].sort((a, b) => (a.name < b.name ? -1 : 1));
  return JSON.parse(JSON.stringify({ targets: sorted })) as Json;
}

/** Reads what `encodeRecord` wrote; nothing comes of what can't be read. */
export function decodeGroupTargets(value: Json): readonly AnnouncedTarget[] | undefined {
  if (value === null || typeof value !== "object" || !("targets" in value)) return undefined;
  const { targets } = value as { readonly targets: unknown };
  if (!Array.isArray(targets)) return undefined;
  const known = targets as readonly AnnouncedTarget[];
  return known.every(hasTargetFields) ? known : undefined;
}

function hasTargetFields({ name, address }: Partial<AnnouncedTarget>): boolean {
  return (
    typeof name === "string" &&
    typeof address?.host === "string" &&
    typeof address.port === "number"
  );
}

/** The groups whose record is not what is listed now, each as it should be. */
export function findOutdatedRecords(
  { routes, targets }: FeedState,
  records: readonly GroupRecord[],
): readonly GroupRecord[] {
  const byGroup = new Map(records.map((record) => [record.group, record]));
  const listed = new Map<string, AnnouncedTarget[]>();
  for (const group of routes?.connections.keys() ?? []) listed.set(group, []);
  for (const { group, target } of targets.values()) listed.get(group)?.push(target);
  return [...listed].flatMap(([group, now]) => {
    const record = byGroup.get(group);
    const isSame = hasSameTargets(record?.targets ?? [], now);
    return isSame ? [] : [{ group, targets: now, version: record?.version ?? 0 }];
  });
}

/**
 * Takes in, beside a process's first listing, the targets that the records name and the listing lacks.
 *
 * Entries lapse while the store is away. A process that was started meanwhile, as all are after a loss
 * of power, knows none from before: it would have its routes and its permission as soon as the store is
 * back, and refuse every statement of a group until the primary's entry came. The missing ones count for as long as the others take to be back. One that is gone for good is
 * no danger: connections name the target that is meant.
 */
export function restoreMissingTargets(
  state: FeedState,
  listing: TargetListing,
  records: readonly GroupRecord[],
  now: number,
): FeedState {
  const refused = new Set(listing.invalidEntries.map(({ name }) => name));
  const isMissing = ({ target }: ListedTarget) =>
    !state.targets.has(target.name) && !refused.has(target.name) && target.isLeaving !== true;
  const recalled = records
    .flatMap(({ group, targets }) => targets.map((target) => ({ group, target })))
    .filter((entry) => isMissing(entry) && !isAddressReused(entry, listing.targets));
  if (recalled.length === 0) return state;
  const targets = new Map(state.targets);
  for (const entry of recalled) targets.set(entry.target.name, entry);
  return { ...state, targets, graceEndsAt: Math.max(state.graceEndsAt, now + missingEntryGraceMs) };
}

function hasSameTargets(a: readonly AnnouncedTarget[], b: readonly AnnouncedTarget[]): boolean {
  return JSON.stringify(encodeGroupTargets(a)) === JSON.stringify(encodeGroupTargets(b));
}
