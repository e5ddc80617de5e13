import {
  compareTerms,
  firstTerm,
  type Branch,
  type Lineage,
  type Mark,
  type Term,
} from "../../src/model/index.js";
import type { TableDefinition } from "./table.js";
import type { Row } from "./value.js";

/** One change of a committed transaction. */
export type Change =
  | { readonly type: "createTable"; readonly definition: TableDefinition }
  | { readonly type: "dropTable"; readonly table: string }
  | { readonly type: "put"; readonly table: string; readonly id: number; readonly row: Row }
  | { readonly type: "remove"; readonly table: string; readonly id: number };

/** One committed transaction, or the start of a term if it has no changes. */
export interface LogRecord {
  readonly term: Term;
  readonly offset: number;
  readonly changes: readonly Change[];
}

/** Finds the branch of the lineage that contains the record at `offset`. */
function findBranch(lineage: Lineage, offset: number): Branch {
  return lineage.findLast((b) => b.start < offset) ?? { term: firstTerm, start: 0 };
}

/** Finds the offset of the last record that two logs share; 0 when they share none. */
export function findCommonOffset(
  a: { readonly lineage: Lineage; readonly offset: number },
  b: { readonly lineage: Lineage; readonly offset: number },
): number {
  let offset = Math.min(a.offset, b.offset);
  while (offset > 0) {
    const inA = findBranch(a.lineage, offset);
    const inB = findBranch(b.lineage, offset);
    if (compareTerms(inA.term, inB.term) === 0) return offset;
    offset = Math.max(inA.start, inB.start);
  }
  return 0;
}

/** A target's log of committed transactions. */
export class CommitLog {
  private records: LogRecord[] = [];
  private branches: Branch[] = [{ term: firstTerm, start: 0 }];

  get lineage(): Lineage {
    return this.branches;
  }

  get offset(): number {
    return this.records.length;
  }

  get mark(): Mark {
    return { term: findBranch(this.branches, this.offset).term, offset: this.offset };
  }

  /** Appends a record; fails unless its offset is the next one. */
  push(record: LogRecord): void {
    if (record.offset !== this.offset + 1)
      throw new Error(`record ${record.offset} is out of order: expected ${this.offset + 1}`);
    if (compareTerms(record.term, this.mark.term) !== 0) {
      this.branches = [...this.branches, { term: record.term, start: this.offset }];
    }
    this.records.push(record);
  }

  /** Lists up to `limit` records after `offset`. */
  list(offset: number, limit = Infinity): readonly LogRecord[] {
    return this.records.slice(offset, offset + limit);
  }

  /** Removes the records after `offset`. */
  truncateAfter(offset: number): void {
    this.records = this.records.slice(0, offset);
    this.branches = this.branches.filter((b) => b.start === 0 || b.start < offset);
    if (offset === 0) this.branches = [{ term: firstTerm, start: 0 }];
  }
}
