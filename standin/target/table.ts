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

/** A unique constraint over columns, by their places. */
export interface UniqueKey {
  readonly name: string;
  readonly columns: readonly number[];
  readonly isPrimary: boolean;
}

/** What CREATE TABLE said. */
export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly Column[];
  readonly uniques: readonly UniqueKey[];
}

/** Builds the text under which a row stands in a unique index; none when a value is null. */
export function buildKey(columns: readonly number[], row: Row): string | undefined {
  const values = columns.map((c) => row[c] ?? null);
  return values.includes(null) ? undefined : encodeKey(values);
}

/** Encodes the values of a unique key. */
export function encodeKey(values: readonly Value[]): string {
  return JSON.stringify(values);
}

/** The committed rows of one table, each under an id that the primary gave it. */
export class Table {
  readonly rows = new Map<number, Row>();
  private readonly indexes: readonly Map<string, number>[];
  private readonly changedAt = new Map<number, number>();
  private nextId = 1;

  constructor(readonly definition: TableDefinition) {
    this.indexes = definition.uniques.map(() => new Map<string, number>());
  }

  /** Takes an id for a new row. Ids of transactions that are rolled back stay unused. */
  takeId(): number {
    return this.nextId++;
  }

  /** Finds the id of the committed row with a key of the unique constraint at `place`. */
  findId(place: number, key: string): number | undefined {
    return this.indexes[place]?.get(key);
  }

  /** The offset of the record that changed a row last; 0 for one that never was. */
  getChangedAt(id: number): number {
    return this.changedAt.get(id) ?? 0;
  }

  /** Puts a row in, or takes it out when `row` is undefined. */
  put(id: number, row: Row | undefined, offset: number): void {
    this.removeKeys(id);
    this.changedAt.set(id, offset);
    if (row === undefined) {
      this.rows.delete(id);
      return;
    }
    this.rows.set(id, row);
    this.nextId = Math.max(this.nextId, id + 1);
    this.definition.uniques.forEach((unique, place) => {
      const key = buildKey(unique.columns, row);
      if (key !== undefined) this.indexes[place]?.set(key, id);
    });
  }

  private removeKeys(id: number): void {
    const before = this.rows.get(id);
    if (before === undefined) return;
    this.definition.uniques.forEach((unique, place) => {
      const key = buildKey(unique.columns, before);
      if (key !== undefined && this.findId(place, key) === id) this.indexes[place]?.delete(key);
    });
  }
}
