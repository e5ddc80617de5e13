import type { Json } from "../model/index.js";

/** The proxy that orders changes of primary now. One at a time, over all groups. */
export interface LeaseHolder {
  readonly vm: string;
  /** Differs between two runs of the process on one VM. */
  readonly incarnation: string;
}

/** Who leads one group. `round` grows with each change, begun or done. */
export type GroupLeadership =
  | {
      readonly type: "serving";
      readonly round: number;
      readonly target: string;
      /** The VM of the proxy that made it primary; absent where an earlier version of the program did. */
      readonly by?: string;
    }
  /** The holder is making a new primary; nobody may use the one before. */
  | { readonly type: "changing"; readonly round: number; readonly from: string };

/**
 * Who leads the groups, as one object of the platform's store. A group that is missing was never
 * changed: its primary is the target that announces itself as such.
 */
export interface LeadershipDocument {
  readonly holder: LeaseHolder | undefined;
  readonly groups: Readonly<Record<string, GroupLeadership>>;
  /** Counts the holder's signs of life. */
  readonly renewals?: number;
}

/** A document with its version in the store: greater ones replace smaller ones everywhere. */
export interface VersionedLeadership {
  readonly version: number;
  readonly document: LeadershipDocument;
}

/** Before any change of a primary. */
export const emptyLeadership: LeadershipDocument = { holder: undefined, groups: {} };

/** What the store holds of a document. */
export function encodeLeadership({ holder, groups, renewals }: LeadershipDocument): Json {
  return {
    holder: holder === undefined ? null : { vm: holder.vm, incarnation: holder.incarnation },
    groups: Object.fromEntries(Object.entries(groups).map(([name, g]) => [name, { ...g }])),
    renewals: renewals ?? 0,
  };
}

/** Reads a document; none comes of what another version of the program may have written. */
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
  if (typeof round !== "number") return undefined;
  if (type === "serving" && typeof target === "string") {
    return { type, round, target, ...(typeof by === "string" ? { by } : {}) };
  }
  if (type === "changing" && typeof from === "string") return { type, round, from };
  return undefined;
}
