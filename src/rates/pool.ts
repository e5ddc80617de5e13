import type { TokenRate } from "./limits.js";

/** Batches that a life is divided into: tokens lapse by a sixteenth of their life too early on average. */
const batchesPerLife = 8;
/** Sums of fractions fall short of whole tokens by less than this. */
const roundingError = 1e-6;

/** Tokens that lapse together. Times are on the process's clock, in milliseconds. */
interface Batch {
  tokens: number;
  readonly until: number;
}

/** Tokens on their way to another process. */
export interface TokenGrant {
  readonly tokens: number;
  /** How long they may be used from now on, in milliseconds. */
  readonly lifeMs: number;
}

/** One team's tokens in this process, in parts too: small shares make a whole one together. */
export class TokenPool {
  /** The one that lapses first in front. */
  private batches: Batch[] = [];

  /** Tokens are made from `madeTo` on. */
  constructor(private madeTo: number) {}

  /** Makes what is due until `now` at a share of the team's rate. */
  issue({ perSecond, lifeMs }: TokenRate, share: number, now: number): void {
    let from = Math.max(this.madeTo, now - lifeMs);
    this.madeTo = now;
    this.dropLapsed(now);
    const perMs = (perSecond * share) / 1000;
    const batchMs = lifeMs / batchesPerLife;
    while (perMs > 0 && from < now) {
      const begunAt = Math.floor(from / batchMs) * batchMs;
      const to = Math.min(now, begunAt + batchMs);
      // Lapses as if all of it were made at its beginning.
      if (to > from) this.add((to - from) * perMs, begunAt + lifeMs);
      from = Math.max(to, from + roundingError);
    }
  }

  count(now: number): number {
    this.dropLapsed(now);
    return this.batches.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Takes a whole token, of those that lapse first; gives when it lapses, or nothing where there is none. */
  take(now: number): number | undefined {
    if (this.count(now) < 1 - roundingError) return undefined;
    let missing = 1;
    const until = this.batches[0]?.until ?? now;
    for (const batch of this.batches) {
      const part = Math.min(missing, batch.tokens);
      batch.tokens -= part;
      missing -= part;
    }
    this.dropLapsed(now);
    return until;
  }

  /** Puts a token back, or some that came from elsewhere. */
  add(tokens: number, until: number): void {
    const same = this.batches.find((batch) => batch.until === until);
    if (same !== undefined) {
      same.tokens += tokens;
      return;
    }
    this.batches.push({ tokens, until });
    this.batches.sort((a, b) => a.until - b.until);
  }

  /** Gives up to so many tokens away, those that lapse last. */
  withdraw(most: number, now: number): TokenGrant {
    let missing = Math.min(most, this.count(now));
    let tokens = 0;
    let until = Infinity;
    for (const batch of this.batches.toReversed()) {
      if (missing <= 0) break;
      const part = Math.min(missing, batch.tokens);
      batch.tokens -= part;
      missing -= part;
      tokens += part;
      until = Math.min(until, batch.until);
    }
    return { tokens, lifeMs: tokens > 0 ? until - now : 0 };
  }

  /** Drops all: the process stood still for a time that its clock does not show. */
  clear(now: number): void {
    this.batches = [];
    this.madeTo = now;
  }

  private dropLapsed(now: number): void {
    this.batches = this.batches.filter(({ tokens, until }) => tokens > 0 && now < until);
  }
}
