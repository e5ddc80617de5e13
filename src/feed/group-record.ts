import type { AnnouncedTarget } from "../direct/index.js";
import type { Address, Json } from "../model/index.js";
import type { GroupRecord, ListedTarget, TargetListing } from "./feed.js";
import { hasSameAddress, isAddressReused, missingEntryGraceMs, type FeedState } from "./state.js";

const maxPort = 65_535;

/** The targets of a group's record. */
export type RecordedTargets = Pick<GroupRecord, "targets" | "former">;

/** Encodes a group's targets sorted by name, so that equal sets of targets give equal records. */
export function encodeGroupTargets({ targets, former = [] }: RecordedTargets): Json {
  const value = {
    targets: sortByName(targets),
    ...(former.length === 0 ? {} : { former: sortByName(former) }),
  };
  return JSON.parse(JSON.stringify(value)) as Json;
}

function sortByName(targets: readonly AnnouncedTarget[]): readonly AnnouncedTarget[] {
  return [...targets].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/**
 * Decodes the output of `encodeGroupTargets`; undefined when the value is malformed. Only known fields are taken over,
 * because an unknown one may be nested too deeply to be encoded again.
 */
export function decodeGroupTargets(value: Json): RecordedTargets | undefined {
  const { targets, former = [] } = (value ?? {}) as Partial<Record<keyof RecordedTargets, unknown>>;
  const decoded = decodeTargets(targets);
  const decodedFormer = decodeTargets(former);
  if (decoded === undefined || decodedFormer === undefined) return undefined;
  return { targets: decoded, ...(decodedFormer.length === 0 ? {} : { former: decodedFormer }) };
}

function decodeTargets(value: unknown): readonly AnnouncedTarget[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const decoded = value.flatMap((target: unknown) => decodeTarget(target) ?? []);
  return decoded.length === value.length ? decoded : undefined;
}

function decodeTarget(value: unknown): AnnouncedTarget | undefined {
  const fields = (value ?? {}) as Partial<AnnouncedTarget>;
  const { name, address, dataCentre, slots, connections, startedAt } = fields;
  if (typeof name !== "string" || !isAddress(address)) return undefined;
  return {
    name,
    address: { host: address.host, port: address.port },
    dataCentre: typeof dataCentre === "string" ? dataCentre : "",
    slots: isCount(slots) ? slots : 1,
    connections: isCount(connections) ? connections : 1,
    announcedRole: fields.announcedRole === "primary" ? "primary" : "replica",
    ...(typeof fields.isLeaving === "boolean" ? { isLeaving: fields.isLeaving } : {}),
    ...(isCount(startedAt) ? { startedAt } : {}),
  };
}

function isAddress(value: unknown): value is Address {
  const { host, port } = (value ?? {}) as Partial<Address>;
  return typeof host === "string" && isCount(port) && port > 0 && port <= maxPort;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/**
 * Lists the recorded targets of a group that are not listed any more, and whose log no listed one has taken over: that of
 * a target that left is transferred to the next one at its address.
 */
export function listFormerTargets(
  { targets, former = [] }: RecordedTargets,
  listed: readonly AnnouncedTarget[],
): readonly AnnouncedTarget[] {
  const known = new Map([...former, ...targets].map((target) => [target.name, target]));
  for (const { name } of listed) known.delete(name);
  return [...known.values()].filter((target) => !isTakenOver(target, listed));
}

function isTakenOver(
  { isLeaving, address }: AnnouncedTarget,
  listed: readonly AnnouncedTarget[],
): boolean {
  return isLeaving === true && listed.some((other) => hasSameAddress(other.address, address));
}

/** Returns new records for the groups whose stored record differs from the targets listed now. */
export function findOutdatedRecords(
  { routes, targets }: FeedState,
  records: readonly GroupRecord[],
): readonly GroupRecord[] {
  const byGroup = new Map(records.map((record) => [record.group, record]));
  const listed = new Map<string, AnnouncedTarget[]>();
  for (const group of routes?.connections.keys() ?? []) listed.set(group, []);
  for (const { group, target } of targets.values()) listed.get(group)?.push(target);
  return [...listed].flatMap(([group, targets]) => {
    const record = byGroup.get(group) ?? { targets: [], version: 0 };
    const isSynchronous = routes?.synchronousGroups?.has(group) === true;
    const next = { targets, former: isSynchronous ? listFormerTargets(record, targets) : [] };
    return hasSameTargets(record, next) ? [] : [{ group, ...next, version: record.version }];
  });
}

/**
 * Adds the recorded targets that are missing from a process's first listing.
 *
 * Targets' entries expire while the store is unavailable. A process that starts during the outage, as all
 * do after a power failure, has no earlier listing: it would get its routes and its permit as soon as the
 * store returns, and refuse every statement of a group until the primary's entry reappears. The missing
 * targets are therefore used for the grace period in which entries reappear. A recorded target that no
 * longer exists does no harm, because a connection names the target that it is meant for.
 */
export function restoreMissingTargets(
  state: FeedState,
  listing: TargetListing,
  records: readonly GroupRecord[],
  now: number,
): FeedState {
  const invalidNames = new Set(listing.invalidEntries.map(({ name }) => name));
  const isMissing = ({ target }: ListedTarget) =>
    !state.targets.has(target.name) && !invalidNames.has(target.name) && target.isLeaving !== true;
  const restored = records
    .flatMap(({ group, targets }) => targets.map((target) => ({ group, target })))
    .filter((entry) => isMissing(entry) && !isAddressReused(entry, listing.targets));
  if (restored.length === 0) return state;
  const targets = new Map(state.targets);
  for (const entry of restored) targets.set(entry.target.name, entry);
  return { ...state, targets, graceEndsAt: Math.max(state.graceEndsAt, now + missingEntryGraceMs) };
}

function hasSameTargets(a: RecordedTargets, b: RecordedTargets): boolean {
  return JSON.stringify(encodeGroupTargets(a)) === JSON.stringify(encodeGroupTargets(b));
}
