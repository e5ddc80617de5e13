import { compareMarkOrder, type Mark } from "../model/index.js";

/**
 * A gateway's statement that reads of one route need the primary, as an entry node remembers it. Times are on its
 * clock, in milliseconds.
 */
export interface PrimaryNeed {
  /**
   * Reads of sessions whose last commit is this one or a later one need the primary; undefined stands for all
   * reads of the route. A read that follows a recent commit may need the primary while others don't.
   */
  readonly mark: Mark | undefined;
  /** Until then such reads go straight to the primary's gateways. */
  readonly validUntil: number;
  /** How long it was valid from the last redirect on. */
  readonly periodMs: number;
}

/** Where a read goes first. */
export type ReadWay =
  /** To the near gateway. */
  | "near"
  /** To the near gateway, to learn whether such reads still need the primary; one at a time. */
  | "probe"
  /** To the primary's gateways. */
  | "primary";

/** The first period: about the replication lag after which a replica is read again, 60 to 150 ms. */
const firstPeriodMs = 80;
/** The longest period, and so the longest time that reads avoid replicas which have caught up. */
const longestPeriodMs = 400;

/** Chooses where a read goes whose session's last commit is `mark`. */
export function chooseReadWay(
  need: PrimaryNeed | undefined,
  mark: Mark | undefined,
  isProbing: boolean,
  now: number,
): ReadWay {
  if (need === undefined || !isAsStrict(mark, need.mark)) return "near";
  return now < need.validUntil || isProbing ? "primary" : "probe";
}

/**
 * Applies a redirect of a read whose session's last commit is `mark`. Redirects within the period come from reads
 * that were already under way, and don't extend it.
 */
export function applyRedirect(
  need: PrimaryNeed | undefined,
  mark: Mark | undefined,
  now: number,
): PrimaryNeed {
  if (need === undefined) return startPeriod(mark, firstPeriodMs, now);
  if (now < need.validUntil) return isAsStrict(mark, need.mark) ? need : { ...need, mark };
  // A read that requires a later commit than the remembered one says nothing about the remembered one.
  const isToldAgain = isAsStrict(need.mark, mark);
  const periodMs = isToldAgain ? Math.min(longestPeriodMs, 2 * need.periodMs) : firstPeriodMs;
  return startPeriod(mark, periodMs, now);
}

function startPeriod(mark: Mark | undefined, periodMs: number, now: number): PrimaryNeed {
  return { mark, validUntil: now + periodMs, periodMs };
}

/** Whether a read after commit `mark` requires at least as fresh a target as one after commit `other`. */
function isAsStrict(mark: Mark | undefined, other: Mark | undefined): boolean {
  if (other === undefined) return true;
  return mark !== undefined && compareMarkOrder(mark, other) >= 0;
}

/** What an entry node remembers of reads that need the primary, by group and staleness bound. */
export class PrimaryNeeds {
  private readonly needs = new Map<string, PrimaryNeed>();
  /** The keys of which one read is at the near gateway as a probe. */
  private readonly probing = new Set<string>();

  /** Chooses where a read goes. After `probe`, call `endProbe` when the read has ended. */
  choose(key: string, mark: Mark | undefined, now: number): ReadWay {
    const way = chooseReadWay(this.needs.get(key), mark, this.probing.has(key), now);
    if (way === "probe") this.probing.add(key);
    return way;
  }

  /** Records that a read was redirected to the primary's gateway. */
  recordRedirect(key: string, mark: Mark | undefined, now: number): void {
    this.needs.set(key, applyRedirect(this.needs.get(key), mark, now));
  }

  /** Ends a probe. `isFresh` when a replica answered it, so that reads use the near gateway again. */
  endProbe(key: string, isFresh: boolean): void {
    this.probing.delete(key);
    if (isFresh) this.needs.delete(key);
  }
}
