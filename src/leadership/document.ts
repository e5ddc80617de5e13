import type { Json } from "../model/index.js";

/** The proxy that currently holds the change lease. There is at most one, across all groups. */
export interface LeaseHolder {
  readonly vm: string;
  /** Distinguishes two runs of the process on one VM. */
  readonly incarnation: string;
}

/** The primary of one group. `round` increases with each change, whether completed or not. */
export type GroupLeadership =
  | {
      readonly type: "serving";
      readonly round: number;
      readonly target: string;
      /** The VM of the proxy that changed the primary; absent if an earlier program version wrote the entry. */
      readonly by?: string;
    }
  /** The lease holder is replacing the primary; the previous one (`from`) must not be used. */
  | { readonly type: "changing"; readonly round: number; readonly from: string };

/**
 * The primaries of all groups, kept as one object in the platform's store. A group without an entry
 * has never been changed: its primary is the target that announces itself as one.
 */
export interface LeadershipDocument {
  readonly holder: LeaseHolder | undefined;
  readonly groups: Readonly<Record<string, GroupLeadership>>;
  /** Incremented by the holder to renew its lease. */
  readonly renewals?: number;
}

/** A document and its version in the store. Every proxy replaces a lower version by a higher one. */
export interface VersionedLeadership {
  readonly version: number;
  readonly document: LeadershipDocument;
}

/** The document before the first change of a primary. */
export const emptyLeadership: LeadershipDocument = { holder: undefined, groups: {} };

/** Converts a document to the JSON value that is stored. */
export function encodeLeadership({ holder, groups, renewals }: LeadershipDocument): Json {
  return {
    holder: holder === undefined ? null : { vm: holder.vm, incarnation: holder.incarnation },
    groups: Object.fromEntries(Object.entries(groups).map(([name, g]) => [name, { ...g }])),
    renewals: renewals ?? 0,
  };
}

/** Parses a stored document; `undefined` if the format is unknown, such as one of another program version. */
export function decodeLeadership(value: unknown): LeadershipDocument | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { holder, groups, renewals } = value as Readonly<Record<string, unknown>>;
  if (typeof groups !== "object" || groups === null) return undefined;
  const entries: [string, GroupLeadership][] = [];
  for (const [name, entry] of Object.entries(groups)) {
    const leadership = decodeGroup(entry);
    if (leadership === undefined) return undefined;
    entries.push([name, leadership]);
  }
  return {
    holder: decodeHolder(holder),
    groups: Object.fromEntries(entries),
    renewals: typeof renewals === "number" ? renewals : 0,
  };
}

function decodeHolder(value: unknown): LeaseHolder | undefined {
  const { vm, incarnation } = (value ?? {}) as Partial<LeaseHolder>;
  return typeof vm === "string" && typeof incarnation === "string"
    ? { vm, incarnation }
    : undefined;
}

function decodeGroup(value: unknown): GroupLeadership | undefined {
  const { type, round, target, from, by } = (value ?? {}) as Readonly<Record<string, unknown>>;
  // A larger round could not be counted on from, and the next document would not be readable.
  if (typeof round !== "number" || !Number.isSafeInteger(round)) return undefined;
  if (type === "serving" && typeof target === "string") {
    return { type, round, target, ...(typeof by === "string" ? { by } : {}) };
  }
  if (type === "changing" && typeof from === "string") return { type, round, from };
  return undefined;
}
