import type { AnnouncedTarget } from "./serving-config.js";

/** What a proxy holds of the connections to the targets of one data centre. */
export type ShareRule =
  /** Nothing: others hold them. */
  | { readonly type: "none" }
  /** As many as each of so many proxies. */
  | { readonly type: "equal"; readonly proxies: number }
  /** Of the few that were chosen, it is the one that is asked first there, or another. */
  | { readonly type: "chosen"; readonly proxies: number; readonly isFirst: boolean };

/** What one proxy may open to a target, and have under way there. */
export interface ConnectionShare {
  /** Connections at any time. */
  readonly base: number;
  /** Connections while statements wait, and the target takes them. */
  readonly max: number;
  /** Statements and transactions at once. */
  readonly slots: number;
}

/** For a target of which nothing is known: one connection, for what has to be done. */
export const minShare: ConnectionShare = { base: 1, max: 1, slots: 1 };

/** Connections of each target that no proxy plans with: changes of primary and a newcomer use them. */
const spareConnections = 1;
/** Connections that a proxy may open beyond its base: more would ask a target for slots that it lacks. */
const burstConnections = 1;
/** More at once from one of many proxies than this gains nothing at targets with a few slots. */
const maxEqualShare = 8;
/**
 * The most of the proxy that is asked first. It has a group's transactions all to itself, which rest
 * between their statements and hold a connection meanwhile: with an equal share it refuses what its target
 * has slots for.
 */
const maxFirstShare = 12;
/** Of that, what reads of a replica may take for each of its slots: some rest inside transactions. */
const readsPerSlot = 2;

/**
 * One proxy's share of a target's connections. The base: twice all proxies' shares stay within its limit. After
 * a loss of power a target counts the connections of the processes before for seconds more; with the
 * whole limit shared out, those that come back are refused every connection meanwhile. So both fit.
 *
 * Beyond it a proxy opens more only for what has waited, and closes them soon. With the base alone one that
 * gets the callers of others that are cut off refuses them with a full queue before its few connections,
 * while its target has slots free.
 */
export function computeShare(
  connections: number,
  target: Pick<AnnouncedTarget, "slots" | "announcedRole">,
  rule: ShareRule,
): ConnectionShare {
  const free = connections - spareConnections;
  switch (rule.type) {
    case "none":
      return minShare;
    case "equal":
      return divideEqually(free, rule.proxies);
    case "chosen":
      return rule.isFirst
        ? computeFirstShare(free, rule.proxies, target)
        : divideEqually(free / 2, rule.proxies);
  }
}

function divideEqually(free: number, proxies: number): ConnectionShare {
  const base = clampShare(free / (2 * Math.max(1, proxies)), maxEqualShare);
  const all = clampShare(free / Math.max(1, proxies), maxEqualShare);
  const max = Math.max(base, Math.min(all, base + burstConnections));
  return { base, max: max, slots: max };
}

/** What half of the limit leaves beside the others, who take over when this one fails. */
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

function clampShare(share: number, max: number): number {
  return Math.max(1, Math.min(max, Math.floor(share)));
}
