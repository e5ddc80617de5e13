import type { Node } from "libpg-query";
import type { DataType, Row, Value } from "./value.js";

/** One column of a table. */
export interface Column {
  readonly name: string;
  readonly type: DataType;
  readonly isRequired: boolean;
  /** The parsed default expression. */
  readonly fallback?: Node;
}

/** A unique constraint over columns, given by their indexes in the table. */
export interface UniqueKey {
  readonly name: string;
  readonly columns: readonly number[];
  readonly isPrimary: boolean;
}

/** The definition of a table from CREATE TABLE. */
export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly Column[];
  readonly uniques: readonly UniqueKey[];
}

/** Builds a row's key in a unique index; undefined when one of its values is null. */
export function buildKey(columns: readonly number[], row: Row): string | undefined {
  const values = columns.map((c) => row[c] ?? null);
  return values.includes(null) ? undefined : encodeKey(values);
}

/** Encodes the values of a unique key. */
export function encodeKey(values: readonly Value[]): string {
  return JSON.stringify(values);
}

/** The committed rows of one table, keyed by the row id that the primary assigned. */
export class Table {
  readonly rows = new Map<number, Row>();
  private readonly indexes: readonly Map<string, number>[];
  private readonly changedAt = new Map<number, number>();
  private nextId = 1;

  constructor(readonly definition: TableDefinition) {
    this.indexes = definition.uniques.map(() => new Map<string, number>());
  }

  /** Allocates an id for a new row. Ids of rolled-back transactions are not reused. */
  allocateId(): number {
    return this.nextId++;
  }

  /** Finds the id of the committed row with `key` in the unique constraint at `position`. */
  findId(position: number, key: string): number | undefined {
    return this.indexes[position]?.get(key);
  }

  /** The offset of the record that last changed a row; 0 if there is none. */
  getChangedAt(id: number): number {
    return this.changedAt.get(id) ?? 0;
  }

  /** Inserts or replaces a row, or removes it when `row` is undefined. */
  put(id: number, row: Row | undefined, offset: number): void {
    this.removeKeys(id);
    this.changedAt.set(id, offset);
    if (row === undefined) {
      this.rows.delete(id);
      return;
    }
    this.rows.set(id, row);
    this.nextId = Math.max(this.nextId, id + 1);
    this.definition.uniques.forEach((unique, position) => {
      const key = buildKey(unique.columns, row);
      if (key !== undefined) this.indexes[position]?.set(key, id);
    });
  }

  private removeKeys(id: number): void {
    const before = this.rows.get(id);
    if (before === undefined) return;
    this.definition.uniques.forEach((unique, position) => {
      const key = buildKey(unique.columns, before);
      if (key !== undefined && this.findId(position, key) === id)
        this.indexes[position]?.delete(key);
    });
  }
}
