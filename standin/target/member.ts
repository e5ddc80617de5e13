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

/** What a control function answers; `refused` carries the term that stood in the way. */
export type ControlReply =
  | { readonly type: "accepted"; readonly status: TargetStatus }
  | { readonly type: "refused"; readonly fencedAt: Term };

/** Whom a replica copies, in which term. */
export interface FollowedPrimary {
  readonly name: string;
  readonly address: Address;
  readonly term: Term;
}

/** Hears of each change of mark, fence or role. */
export type ChangeListener = () => void;

/**
 * One target's part in its group: log, data, role and fence. Every method takes effect at once, so
 * that no commit can fall between a fence and its answer.
 */
export class Member {
  readonly log = new CommitLog();
  private database = new Database();
  private fencedAt: Term = firstTerm;
  /** The term in which it was last made primary; it may be superseded since. */
  private primaryTerm: Term | undefined = firstTerm;
  private following: FollowedPrimary | undefined;
  private epoch = 0;
  private readonly listeners = new Set<ChangeListener>();

  constructor(readonly name: string) {}

  get status(): TargetStatus {
    const { following } = this;
    const copies = following !== undefined && this.canCopy(following);
    return {
      target: this.name,
      role: this.primaryTerm === undefined ? "replica" : "primary",
      mark: this.log.mark,
      lineage: this.log.lineage,
      fencedAt: this.fencedAt,
      ...(copies ? { follows: following.name } : {}),
    };
  }

  get isReplica(): boolean {
    return this.primaryTerm === undefined;
  }

  get followedPrimary(): FollowedPrimary | undefined {
    return this.following;
  }

  /** Calls `listener` after each change, until the function that it hands back is called. */
  subscribe(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  begin(): Transaction {
    return new Transaction(this.database, this.log.offset);
  }

  /** From now on it commits, copies and is promoted in no term older than `term`. */
  fence(term: Term): ControlReply {
    if (compareTerms(term, this.fencedAt) < 0) return this.refuse();
    this.fencedAt = term;
    return this.grant();
  }

  /**
   * Makes it primary in `term`. A target that was told to follow in that very term has a primary
   * there already: a late promotion would make a second one, so it is refused as well.
   */
  promote(term: Term): ControlReply {
    if (compareTerms(term, this.fencedAt) !== 0) return this.refuse();
    if (this.following !== undefined && compareTerms(this.following.term, term) === 0) {
      return this.refuse();
    }
    if (this.isPrimaryIn(term)) return this.grant();
    this.following = undefined;
    this.primaryTerm = term;
    this.epoch += 1;
    this.log.push({ term, offset: this.log.offset + 1, changes: [] });
    return this.grant();
  }

  /** Makes it a replica in `term`. Its log is cut once the primary has told its lineage. */
  follow(following: FollowedPrimary): ControlReply {
    const { term } = following;
    if (compareTerms(term, this.fencedAt) < 0) return this.refuse();
    if (this.isPrimaryIn(term) && compareTerms(term, firstTerm) !== 0) return this.refuse();
    this.fencedAt = term;
    this.primaryTerm = undefined;
    this.following = following;
    this.epoch += 1;
    return this.grant();
  }

  isPrimaryIn(term: Term): boolean {
    return this.primaryTerm !== undefined && compareTerms(this.primaryTerm, term) === 0;
  }

  /** Fails unless it may write: a replica and a superseded primary may not. */
  checkWritable(): void {
    if (this.primaryTerm === undefined) {
      throw new SqlError("25006", "cannot write on a replica: read-only transaction");
    }
    if (compareTerms(this.primaryTerm, this.fencedAt) < 0) {
      throw new SqlError("25006", `superseded: fenced at ${formatTerm(this.fencedAt)}`);
    }
  }

  /** Notes that a transaction is about to write. */
  beginWrite(transaction: Transaction): void {
    this.checkWritable();
    transaction.epoch ??= this.epoch;
  }

  /** Commits a transaction as one record, or fails and leaves everything as it was. */
  commit(transaction: Transaction): Mark | undefined {
    try {
      return transaction.hasChanges ? this.writeChanges(transaction) : undefined;
    } finally {
      transaction.end();
    }
  }

  /**
   * Whether records may still be copied in the term of `following`. A fence at a later term stops
   * the copying at once: otherwise a superseded primary's record could land on a replica that its
   * successor counts as fenced, and a write would seem replicated that the new term cuts away.
   */
  canCopy(following: FollowedPrimary): boolean {
    return this.following === following && compareTerms(following.term, this.fencedAt) === 0;
  }

  /** Cuts the log back to what it has in common with the primary's; the state is replayed. */
  truncateToCommonOffset(primary: { readonly lineage: Lineage; readonly offset: number }): void {
    const own = { lineage: this.log.lineage, offset: this.log.offset };
    const common = findCommonOffset(own, primary);
    if (common === own.offset) return;
    this.log.truncateAfter(common);
    this.database = new Database();
    for (const record of this.log.list(0)) this.database.apply(record);
    this.tellListeners();
  }

  /** Appends a record copied from the primary. */
  appendCopied(record: LogRecord): void {
    this.write(record);
  }

  private writeChanges(transaction: Transaction): Mark | undefined {
    this.checkWritable();
    if (transaction.epoch !== this.epoch) {
      throw new SqlError("25006", "superseded: the transaction began in an older term");
    }
    const changes = transaction.collect();
    if (changes.length === 0) return undefined;
    const term = this.primaryTerm ?? firstTerm;
    this.write({ term, offset: this.log.offset + 1, changes });
    return this.log.mark;
  }

  private write(record: LogRecord): void {
    this.log.push(record);
    this.database.apply(record);
    this.tellListeners();
  }

  private grant(): ControlReply {
    this.tellListeners();
    return { type: "accepted", status: this.status };
  }

  private refuse(): ControlReply {
    return { type: "refused", fencedAt: this.fencedAt };
  }

  private tellListeners(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
