import type { Change } from "./log.js";
import { SqlError } from "./error.js";
import { Table } from "./table.js";

/** The committed state: what replaying the log from its beginning gives. */
export class Database {
  private readonly tables = new Map<string, Table>();

  find(name: string): Table | undefined {
    return this.tables.get(name);
  }

  /** Applies the changes of one record, all of them at once for every reader. */
  apply(changes: readonly Change[]): void {
    for (const change of changes) this.applyChange(change);
  }

  private applyChange(change: Change): void {
    switch (change.type) {
      case "createTable":
        this.tables.set(change.definition.name, new Table(change.definition));
        return;
      case "dropTable":
        this.tables.delete(change.table);
        return;
      case "put":
        this.get(change.table).put(change.id, change.row);
        return;
      case "remove":
        this.get(change.table).put(change.id, undefined);
        return;
    }
  }

  private get(name: string): Table {
    const table = this.tables.get(name);
    if (table === undefined) throw new SqlError("42P01", `relation "${name}" does not exist`);
    return table;
  }
}
