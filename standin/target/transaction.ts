import type { Change } from "./log.js";
import type { Database } from "./database.js";
import { SqlError } from "./error.js";
import { buildKey, Table, type TableDefinition } from "./table.js";
import type { Row } from "./value.js";

interface Entry {
  /** The committed row when the transaction first changed it. */
  readonly base: Row | undefined;
  readonly row: Row | undefined;
}

/** What one transaction sees of one table: the committed rows under its own changes. */
export class TableView {
  private readonly entries = new Map<number, Entry>();
  private readonly keys: readonly Map<string, number>[];

  constructor(readonly table: Table) {
    this.keys = table.definition.uniques.map(() => new Map<string, number>());
  }

  get definition(): TableDefinition {
    return this.table.definition;
  }

  get(id: number): Row | undefined {
    const entry = this.entries.get(id);
    return entry === undefined ? this.table.rows.get(id) : entry.row;
  }

  /** Lists every row that the transaction sees, with its id. */
  *list(): Iterable<readonly [number, Row]> {
    for (const [id, row] of this.table.rows) if (!this.entries.has(id)) yield [id, row];
    for (const [id, entry] of this.entries) if (entry.row !== undefined) yield [id, entry.row];
  }

  /** Finds the row with a key of the unique constraint at `place`. */
  findId(place: number, key: string): number | undefined {
    const own = this.keys[place]?.get(key);
    if (own !== undefined) return own;
    const committed = this.table.findId(place, key);
    return committed === undefined || this.entries.has(committed) ? undefined : committed;
  }

  /** Changes a row, or removes it when `row` is undefined. */
  put(id: number, row: Row | undefined): void {
    const before = this.get(id);
    const base = this.entries.get(id)?.base ?? this.table.rows.get(id);
    this.putKeys(id, before, row);
    this.entries.set(id, { base, row });
  }

  /** Collects the changes, or fails when another transaction has changed the same rows since. */
  collect(): readonly Change[] {
    const table = this.definition.name;
    return [...this.entries].flatMap(([id, entry]): Change[] => {
      this.checkEntry(id, entry);
      if (entry.row !== undefined) return [{ type: "put", table, id, row: entry.row }];
      return entry.base === undefined ? [] : [{ type: "remove", table, id }];
    });
  }

  private checkEntry(id: number, entry: Entry): void {
    const { row } = entry;
    const isClash =
      row !== undefined &&
      this.definition.uniques.some((unique, place) => {
        const key = buildKey(unique.columns, row);
        const committed = key === undefined ? undefined : this.table.findId(place, key);
        return committed !== undefined && committed !== id && !this.entries.has(committed);
      });
    if (isClash || this.table.rows.get(id) !== entry.base) {
      throw new SqlError("40001", "could not serialize access due to concurrent update");
    }
  }

  private putKeys(id: number, before: Row | undefined, after: Row | undefined): void {
    this.definition.uniques.forEach((unique, place) => {
      const keys = this.keys[place];
      const old = before === undefined ? undefined : buildKey(unique.columns, before);
      if (old !== undefined && keys?.get(old) === id) keys.delete(old);
      const key = after === undefined ? undefined : buildKey(unique.columns, after);
      if (key !== undefined) keys?.set(key, id);
    });
  }
}

/** A transaction's private changes until it commits. */
export class Transaction {
  private readonly views = new Map<string, TableView>();
  private readonly created = new Map<string, Table>();
  private readonly dropped = new Set<string>();
  /** Tells apart the times in which the target was primary; set by the first write. */
  epoch: number | undefined;

  constructor(private readonly database: Database) {}

  get hasChanges(): boolean {
    return this.epoch !== undefined;
  }

  find(name: string): TableView | undefined {
    const table = this.created.get(name) ?? this.findCommitted(name);
    if (table === undefined) return undefined;
    const known = this.views.get(name);
    if (known?.table === table) return known;
    const view = new TableView(table);
    this.views.set(name, view);
    return view;
  }

  get(name: string): TableView {
    const view = this.find(name);
    if (view === undefined) throw new SqlError("42P01", `relation "${name}" does not exist`);
    return view;
  }

  create(definition: TableDefinition): void {
    this.created.set(definition.name, new Table(definition));
  }

  drop(name: string): void {
    if (!this.created.delete(name)) this.dropped.add(name);
    this.views.delete(name);
  }

  /** Collects all changes for one log record, or fails on a conflict. */
  collect(): readonly Change[] {
    for (const [name, view] of this.views) {
      if (this.created.get(name) === view.table) continue;
      if (this.database.find(name) !== view.table) throw makeConflict(name);
    }
    for (const name of this.created.keys()) {
      if (this.findCommitted(name) !== undefined) throw makeConflict(name);
    }
    return [
      ...[...this.dropped].map((table): Change => ({ type: "dropTable", table })),
      ...[...this.created.values()].map(({ definition }): Change => ({
        type: "createTable",
        definition,
      })),
      ...[...this.views.values()].flatMap((view) => view.collect()),
    ];
  }

  private findCommitted(name: string): Table | undefined {
    return this.dropped.has(name) ? undefined : this.database.find(name);
  }
}

function makeConflict(name: string): SqlError {
  return new SqlError("40001", `relation "${name}" was changed by another transaction`);
}
