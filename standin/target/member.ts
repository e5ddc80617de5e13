import {
  compareTerms,
  firstTerm,
  formatTerm,
  type Address,
  type Lineage,
  type Mark,
  type TargetStatus,
  type Term,
} from "../../src/model/index.js";
import { Database } from "./database.js";
import { SqlError } from "./error.js";
import { CommitLog, findCommonOffset, type LogRecord } from "./log.js";
import { Transaction } from "./transaction.js";

/** The answer of a control function; a refusal carries the term that the target is fenced at. */
export type ControlReply =
  | { readonly type: "accepted"; readonly status: TargetStatus }
  | { readonly type: "refused"; readonly fencedAt: Term };

/** The primary that a replica copies, and the term in which it does. */
export interface FollowedPrimary {
  readonly name: string;
  readonly address: Address;
  readonly term: Term;
}

/** Called after each change of mark, fence or role. */
export type ChangeListener = () => void;

/**
 * One target's replication state: log, data, role and fence. Every method is synchronous, so that
 * no commit can take effect between a fence and its answer.
 */
export class Member {
  readonly log = new CommitLog();
  private database = new Database();
  private fencedAt: Term = firstTerm;
  /** The term in which it was last promoted, perhaps superseded; undefined on a replica. */
  private primaryTerm: Term | undefined = firstTerm;
  private following: FollowedPrimary | undefined;
  private epoch = 0;
  private readonly listeners = new Set<ChangeListener>();

  constructor(readonly name: string) {}

  get status(): TargetStatus {
    const { following } = this;
    const isCopying = following !== undefined && this.canCopyFrom(following);
    return {
      target: this.name,
      role: this.primaryTerm === undefined ? "replica" : "primary",
      mark: this.log.mark,
      lineage: this.log.lineage,
      fencedAt: this.fencedAt,
      ...(isCopying ? { follows: following.name } : {}),
    };
  }

  get isReplica(): boolean {
    return this.primaryTerm === undefined;
  }

  get followedPrimary(): FollowedPrimary | undefined {
    return this.following;
  }

  /** Calls `listener` after each change; the returned function unsubscribes it. */
  subscribe(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  begin(): Transaction {
    return new Transaction(this.database, this.log.offset);
  }

  /** Prevents commits, replication and promotion in terms older than `term`. */
  fence(term: Term): ControlReply {
    if (compareTerms(term, this.fencedAt) < 0) return this.refuse();
    this.fencedAt = term;
    return this.accept();
  }

  /**
   * Makes the target primary in `term`, which must equal its fence. A target that already follows a
   * primary in that term refuses too: a delayed promotion would create a second primary.
   */
  promote(term: Term): ControlReply {
    if (compareTerms(term, this.fencedAt) !== 0) return this.refuse();
    if (this.following !== undefined && compareTerms(this.following.term, term) === 0) {
      return this.refuse();
    }
    if (this.isPrimaryIn(term)) return this.accept();
    this.following = undefined;
    this.primaryTerm = term;
    this.epoch += 1;
    this.log.push({ term, offset: this.log.offset + 1, changes: [] });
    return this.accept();
  }

  /** Makes the target a replica. Its log is truncated once the primary's lineage is known. */
  follow(following: FollowedPrimary): ControlReply {
    const { term } = following;
    if (compareTerms(term, this.fencedAt) < 0) return this.refuse();
    if (this.isPrimaryIn(term) && compareTerms(term, firstTerm) !== 0) return this.refuse();
    this.fencedAt = term;
    this.primaryTerm = undefined;
    this.following = following;
    this.epoch += 1;
    return this.accept();
  }

  isPrimaryIn(term: Term): boolean {
    return this.primaryTerm !== undefined && compareTerms(this.primaryTerm, term) === 0;
  }

  /** Throws on a replica and on a superseded primary, which may not write. */
  checkWritable(): void {
    if (this.primaryTerm === undefined) {
      throw new SqlError("25006", "cannot write on a replica: read-only transaction");
    }
    if (compareTerms(this.primaryTerm, this.fencedAt) < 0) {
      throw new SqlError("25006", `superseded: fenced at ${formatTerm(this.fencedAt)}`);
    }
  }

  /** Ties a transaction to the current role period before its first write. */
  beginWrite(transaction: Transaction): void {
    this.checkWritable();
    transaction.epoch ??= this.epoch;
  }

  /** Commits a transaction as one record; undefined without changes. A failure changes nothing. */
  commit(transaction: Transaction): Mark | undefined {
    try {
      return transaction.hasChanges ? this.commitChanges(transaction) : undefined;
    } finally {
      transaction.end();
    }
  }

  /**
   * Whether records may still be copied from `primary` in its term. A fence at a later term stops
   * replication at once. Otherwise a record of the superseded primary could reach a replica that
   * its successor counts as fenced: the write would seem replicated, but the new term discards it.
   */
  canCopyFrom(primary: FollowedPrimary): boolean {
    return this.following === primary && compareTerms(primary.term, this.fencedAt) === 0;
  }

  /** Truncates the log to the part shared with the primary's and rebuilds the data from it. */
  truncateToCommonOffset(primary: { readonly lineage: Lineage; readonly offset: number }): void {
    const own = { lineage: this.log.lineage, offset: this.log.offset };
    const common = findCommonOffset(own, primary);
    if (common === own.offset) return;
    this.log.truncateAfter(common);
    this.database = new Database();
    for (const record of this.log.list(0)) this.database.apply(record);
    this.notifyListeners();
  }

  /** Appends and applies a record copied from the primary. */
  appendCopied(record: LogRecord): void {
    this.append(record);
  }

  private commitChanges(transaction: Transaction): Mark | undefined {
    this.checkWritable();
    if (transaction.epoch !== this.epoch) {
      throw new SqlError("25006", "superseded: the transaction began in an older term");
    }
    const changes = transaction.collect();
    if (changes.length === 0) return undefined;
    const term = this.primaryTerm ?? firstTerm;
    this.append({ term, offset: this.log.offset + 1, changes });
    return this.log.mark;
  }

  private append(record: LogRecord): void {
    this.log.push(record);
    this.database.apply(record);
    this.notifyListeners();
  }

  private accept(): ControlReply {
    this.notifyListeners();
    return { type: "accepted", status: this.status };
  }

  private refuse(): ControlReply {
    return { type: "refused", fencedAt: this.fencedAt };
  }

  private notifyListeners(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
