import {
  compareTerms,
  type ControlResult,
  firstTerm,
  type Lineage,
  type Mark,
  type TargetStatus,
  type Term,
} from "../../src/model/index.js";

/** One record of a log: its term, and the write it came from. */
export interface FakeRecord {
  readonly term: Term;
  readonly write: string;
}

/** A target in memory, with the semantics of the port `TargetControl`. */
export class FakeTarget {
  log: FakeRecord[] = [];
  role: TargetStatus["role"] = "replica";
  fencedAt: Term = firstTerm;
  follows: string | undefined;
  /** How long after the primary's commit it holds a record, beyond the network's delay. */
  lagMs = 0;
  /** Whether a promotion is refused unless the target stands fenced at exactly its term. */
  isExact = true;
  private listeners = new Set<() => void>();

  constructor(readonly name: string) {}

  get mark(): Mark {
    return { term: this.log.at(-1)?.term ?? firstTerm, offset: this.log.length };
  }

  get lineage(): Lineage {
    const isFirst = (record: FakeRecord, i: number): boolean =>
      i > 0 && compareTerms(record.term, this.log[i - 1]?.term ?? firstTerm) !== 0;
    const starts = this.log.flatMap((r, i) => (isFirst(r, i) ? [{ term: r.term, start: i }] : []));
    const { term } = this.log[0] ?? { term: firstTerm };
    const first = compareTerms(term, firstTerm) === 0 ? [] : [{ term, start: 0 }];
    return [{ term: firstTerm, start: 0 }, ...first, ...starts];
  }

  get isLeading(): boolean {
    return this.role === "primary" && compareTerms(this.fencedAt, this.mark.term) === 0;
  }

  status(): TargetStatus {
    const { name: target, role, mark, lineage, fencedAt, follows } = this;
    return { target, role, mark, lineage, fencedAt, ...(follows === undefined ? {} : { follows }) };
  }

  fence(term: Term): ControlResult {
    if (compareTerms(term, this.fencedAt) < 0) return { type: "refused", fencedAt: this.fencedAt };
    this.fencedAt = term;
    return this.accept();
  }

  promote(term: Term): ControlResult {
    if (this.isExact && compareTerms(term, this.fencedAt) !== 0) {
      return { type: "refused", fencedAt: this.fencedAt };
    }
    if (this.role === "primary" && compareTerms(this.mark.term, term) === 0) return this.accept();
    this.role = "primary";
    this.follows = undefined;
    this.log.push({ term, write: "" });
    return this.accept();
  }

  follow(primary: string, term: Term): ControlResult {
    if (compareTerms(term, this.fencedAt) < 0) return { type: "refused", fencedAt: this.fencedAt };
    this.fencedAt = term;
    this.role = "replica";
    this.follows = primary;
    return this.accept();
  }

  /** Commits a write; `undefined` where it does not lead. */
  commit(write: string): Mark | undefined {
    if (!this.isLeading) return undefined;
    this.log.push({ term: this.mark.term, write });
    this.notify();
    return this.mark;
  }

  /** Takes over the log of the primary that it follows, as it was, cutting off what that lacks. */
  copy(primary: string, log: readonly FakeRecord[]): void {
    const term = log.at(-1)?.term ?? firstTerm;
    if (this.follows !== primary || compareTerms(term, this.fencedAt) < 0) return;
    if (this.log.length === log.length && this.mark.term === term) return;
    if (isPrefix(log, this.log)) return;
    this.log = [...log];
    this.notify();
  }

  /** Calls `listener` once, at the next change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  private accept(): ControlResult {
    this.notify();
    return { type: "accepted", status: this.status() };
  }

  private notify(): void {
    const listeners = [...this.listeners];
    this.listeners.clear();
    for (const listener of listeners) listener();
  }
}

/** Whether `log` is an older state of `newer`, as when two copies overtake each other. */
function isPrefix(log: readonly FakeRecord[], newer: readonly FakeRecord[]): boolean {
  const last = log.at(-1);
  return log.length <= newer.length && (last === undefined || newer[log.length - 1] === last);
}
