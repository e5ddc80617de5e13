import type { Change, LogRecord } from "./log.js";
import { SqlError } from "./error.js";
import { Locks } from "./locks.js";
import { Table } from "./table.js";

/** The committed state of a target, as replaying its log from the beginning produces it. */
export class Database {
  readonly locks = new Locks();
  private readonly tables = new Map<string, Table>();

  find(name: string): Table | undefined {
    return this.tables.get(name);
  }

  /** Applies the changes of one record; readers see all of them or none. */
  apply({ changes, offset }: LogRecord): void {
    for (const change of changes) this.applyChange(change, offset);
  }

  private applyChange(change: Change, offset: number): void {
    switch (change.type) {
      case "createTable":
        this.tables.set(change.definition.name, new Table(change.definition));
        return;
      case "dropTable":
        this.tables.delete(change.table);
        return;
      case "put":
        this.get(change.table).put(change.id, change.row, offset);
        return;
      case "remove":
        this.get(change.table).put(change.id, undefined, offset);
        return;
    }
  }

  private get(name: string): Table {
    const table = this.tables.get(name);
    if (table === undefined) throw new SqlError("42P01", `relation "${name}" does not exist`);
    return table;
  }
}
