import type { TokenRate } from "./limits.js";

/**
 * Batches that are issued within one token life. Tokens of a batch expire together, so that on average a
 * token expires a sixteenth of its life too early.
 */
const batchesPerLife = 8;
/** Sums of fractions fall short of whole tokens by less than this. */
const roundingError = 1e-6;

/** Tokens that expire together. Times are on the process's clock, in milliseconds. */
interface Batch {
  tokens: number;
  readonly expiresAt: number;
}

/** Tokens of a grant that expire together. */
export interface GrantedBatch {
  readonly tokens: number;
  /** How long they stay valid from now on, in milliseconds. */
  readonly lifeMs: number;
}

/** Tokens that one process transfers to another. */
export interface TokenGrant {
  readonly tokens: number;
  /** How long all of them stay valid from now on, in milliseconds. */
  readonly lifeMs: number;
  /** The same tokens by the time that they stay valid; absent or empty in grants of older builds. */
  readonly batches?: readonly GrantedBatch[];
}

/** The batches of a grant. */
export function listGrantedBatches({
  tokens,
  lifeMs,
  batches = [],
}: TokenGrant): readonly GrantedBatch[] {
  return batches.length > 0 ? batches : [{ tokens, lifeMs }];
}

/**
 * One team's valid tokens in this process. Fractions of tokens are kept too, so that small shares add up to
 * whole tokens. Times are on the process's clock, in milliseconds.
 */
export class TokenPool {
  /** Sorted by expiry, the earliest first. */
  private batches: Batch[] = [];

  /** Tokens are issued from `issuedUntil` on. */
  constructor(private issuedUntil: number) {}

  /** Issues what has become due until `now` at a share of the team's rate. */
  issue({ perSecond, lifeMs }: TokenRate, share: number, now: number): void {
    let from = Math.max(this.issuedUntil, now - lifeMs);
    this.issuedUntil = now;
    this.dropExpired(now);
    const perMs = (perSecond * share) / 1000;
    const batchMs = lifeMs / batchesPerLife;
    while (perMs > 0 && from < now) {
      const batchStart = Math.floor(from / batchMs) * batchMs;
      const to = Math.min(now, batchStart + batchMs);
      // The whole batch expires as if it had been issued at its start.
      if (to > from) this.add((to - from) * perMs, batchStart + lifeMs);
      from = Math.max(to, from + roundingError);
    }
  }

  /** Valid tokens, with fractions. */
  count(now: number): number {
    this.dropExpired(now);
    return this.batches.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /**
   * Takes one whole token, from those that expire first, and returns when it expires; undefined when there
   * is no whole token.
   */
  take(now: number): number | undefined {
    if (this.count(now) < 1 - roundingError) return undefined;
    let missing = 1;
    const expiresAt = this.batches[0]?.expiresAt ?? now;
    for (const batch of this.batches) {
      const part = Math.min(missing, batch.tokens);
      batch.tokens -= part;
      missing -= part;
    }
    this.dropExpired(now);
    return expiresAt;
  }

  /** Adds tokens that were returned unused or came from another process. */
  add(tokens: number, expiresAt: number): void {
    const same = this.batches.find((batch) => batch.expiresAt === expiresAt);
    if (same !== undefined) {
      same.tokens += tokens;
      return;
    }
    this.batches.push({ tokens, expiresAt });
    this.batches.sort((a, b) => a.expiresAt - b.expiresAt);
  }

  /**
   * Removes up to `max` tokens, those that expire last, for another process. Each batch keeps its own expiry:
   * if all expired with the first, most of a grant would expire unused while its team is refused.
   */
  withdraw(max: number, now: number): TokenGrant {
    let missing = Math.min(max, this.count(now));
    let tokens = 0;
    const batches: GrantedBatch[] = [];
    for (const batch of this.batches.toReversed()) {
      if (missing <= 0) break;
      const part = Math.min(missing, batch.tokens);
      batch.tokens -= part;
      missing -= part;
      tokens += part;
      batches.push({ tokens: part, lifeMs: batch.expiresAt - now });
    }
    return { tokens, lifeMs: batches.at(-1)?.lifeMs ?? 0, batches };
  }

  /** Drops all tokens, for when the process was suspended for a time that its clock does not show. */
  clear(now: number): void {
    this.batches = [];
    this.issuedUntil = now;
  }

  private dropExpired(now: number): void {
    this.batches = this.batches.filter(({ tokens, expiresAt }) => tokens > 0 && now < expiresAt);
  }
}
