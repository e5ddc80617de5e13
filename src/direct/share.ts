import { hashPair } from "../policy/index.js";
import type { AnnouncedTarget } from "./serving-config.js";

/** The proxies that share a target's connections, by name. */
export interface ShareMembers {
  /** This proxy. */
  readonly own: string;
  readonly all: readonly string[];
}

/** The rule for a proxy's share of the connections to the targets of one data centre. */
export type ShareRule =
  /** Other proxies hold the connections; this one uses the minimum only when it has to. */
  | { readonly type: "none" }
  /** An equal share among `proxies` proxies; what is left over goes to some of `members`. */
  | { readonly type: "equal"; readonly proxies: number; readonly members?: ShareMembers }
  /**
   * It is one of `proxies` chosen gateways. `isFirst` marks the one that proxies in that data centre prefer,
   * and `isActing` the first one that is not lost.
   */
  | {
      readonly type: "chosen";
      readonly proxies: number;
      readonly isFirst: boolean;
      readonly isActing?: boolean;
    };

/** The connections that one proxy may open to a target, and the statements that it may run there. */
export interface ConnectionShare {
  /** Connections that it may open at any time and keep idle. */
  readonly base: number;
  /** The upper bound while statements wait and the target accepts more connections. */
  readonly max: number;
  /** Concurrent statements and transactions. */
  readonly slots: number;
}

/** The minimum share, also for a target of which nothing is known. */
export const minShare: ConnectionShare = { base: 1, max: 1, slots: 1 };

/** Connections of each target that are not shared out, for changes of primary and for a new proxy. */
const spareConnections = 1;
/** Connections that a proxy may open beyond its base. More would exceed the slots of the target. */
const burstConnections = 1;
/** The largest equal share. One of many proxies gains nothing from more at targets with few slots. */
const maxEqualShare = 8;
/**
 * The largest share of the preferred gateway. It runs all of a group's transactions, which hold a connection
 * while they are idle between statements. With an equal share it would refuse statements although its target
 * has free slots.
 */
const maxFirstShare = 12;
/** Concurrent reads of that gateway for each slot of a replica: some are idle inside transactions. */
const readsPerSlot = 2;

/**
 * Computes one proxy's share of a target's connection limit. Twice the sum of all proxies' bases fits into the
 * limit. After a power loss a target counts the connections of the previous processes for some seconds. If
 * the bases used the whole limit, the restarted proxies would be refused every connection during that time.
 *
 * A proxy opens connections beyond its base only for statements that have waited, and closes them soon. With
 * the base alone a proxy that takes over the callers of proxies that are cut off would refuse them with a
 * full queue while its target has free slots.
 *
 * With `isSlotPlanned` the gateway that acts for a target has the target's slots, and any other gateway one.
 */
export function computeShare(
  connections: number,
  target: Pick<AnnouncedTarget, "slots" | "announcedRole"> & { readonly name?: string },
  rule: ShareRule,
  isSlotPlanned = false,
): ConnectionShare {
  if (isSlotPlanned && rule.type === "chosen")
    return computePlannedShare(connections, target, rule);
  const free = connections - spareConnections;
  switch (rule.type) {
    case "none":
      return minShare;
    case "equal":
      return divideEqually(free, rule.proxies, findRank(target.name ?? "", rule.members));
    case "chosen":
      return rule.isFirst
        ? computeFirstShare(free, rule.proxies, target)
        : divideEqually(free / 2, rule.proxies);
  }
}

/** Builds the rule for an equal share among proxies, of which `own` is this one. */
export function buildEqualShare(own: string, all: readonly string[]): ShareRule {
  return { type: "equal", proxies: Math.max(1, all.length), members: { own, all } };
}

/** Whether two shares are the same. */
export function hasSameShare(a: ConnectionShare, b: ConnectionShare): boolean {
  return a.base === b.base && a.max === b.max && a.slots === b.slots;
}

/** The share where slots are planned. A gateway that takes over needs the connections of the first one too. */
function computePlannedShare(
  connections: number,
  target: Pick<AnnouncedTarget, "slots" | "announcedRole">,
  { proxies, isFirst, isActing = isFirst }: Extract<ShareRule, { type: "chosen" }>,
): ConnectionShare {
  const rule = { type: "chosen", proxies, isFirst: isFirst || isActing } as const;
  const { base, max } = computeShare(connections, target, rule);
  return { base, max, slots: isActing ? Math.max(1, target.slots) + slotsInTransit : 1 };
}

/**
 * The proxies below the rank `free % proxies` get one connection more, so that none of the limit is unused. With one
 * connection each, a transaction whose caller is idle would keep a proxy's only slot at a target.
 */
function divideEqually(free: number, proxies: number, rank = Infinity): ConnectionShare {
  const count = Math.max(1, proxies);
  const base = clampShare(free / (2 * count), maxEqualShare);
  const remainder = rank < Math.floor(free) % count ? 1 : 0;
  const all = clampShare(free / count + remainder, maxEqualShare);
  const max = Math.max(base, Math.min(all, base + burstConnections));
  return { base, max, slots: max };
}

/** This proxy's place among those that share a target; each target orders them differently. Infinity if it isn't one. */
function findRank(target: string, members: ShareMembers | undefined): number {
  if (members?.all.includes(members.own) !== true) return Infinity;
  const own = hashPair(target, members.own);
  const isBefore = (vm: string) => {
    const hash = hashPair(target, vm);
    return hash > own || (hash === own && vm < members.own);
  };
  return members.all.filter(isBefore).length;
}

/** The preferred gateway's share: half of the limit, less the shares of the gateways that replace it if it fails. */
function computeFirstShare(
  free: number,
  proxies: number,
  { slots, announcedRole }: Pick<AnnouncedTarget, "slots" | "announcedRole">,
): ConnectionShare {
  const others = Math.max(0, proxies - 1) * divideEqually(free / 2, proxies).base;
  const base = clampShare(free / 2 - others, maxFirstShare);
  const limit = announcedRole === "primary" ? base : Math.min(base, readsPerSlot * slots);
  return { base, max: base, slots: Math.max(1, limit) };
}

/** Statements on their way to or from the target, which hold a slot of the gateway and none there. */
const slotsInTransit = 1;

function clampShare(share: number, max: number): number {
  return Math.max(1, Math.min(max, Math.floor(share)));
}
