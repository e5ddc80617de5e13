import type { Change } from "./log.js";
import type { Database } from "./database.js";
import { SqlError } from "./error.js";
import { LockOwner, LockedError } from "./locks.js";
import { Table, type TableDefinition } from "./table.js";
import { createConflictError, TableView } from "./view.js";

/** An open transaction and its uncommitted changes. */
export class Transaction {
  readonly owner = new LockOwner();
  private views = new Map<string, TableView>();
  private created = new Map<string, Table>();
  private dropped = new Set<string>();
  /** Identifies the target's role period in which the first write ran; undefined before it. */
  epoch: number | undefined;
  /** The log's offset at the start, for isolation levels above read committed. */
  snapshotOffset: number | undefined;

  constructor(
    private readonly database: Database,
    readonly startOffset: number,
  ) {}

  /** Runs a statement; its changes are undone if it has to wait for another transaction. */
  attempt<T>(run: () => T): T {
    const { views, created, dropped } = this;
    this.views = new Map([...views].map(([name, view]) => [name, view.copy()]));
    this.created = new Map(created);
    this.dropped = new Set(dropped);
    try {
      return run();
    } catch (error) {
      if (error instanceof LockedError) Object.assign(this, { views, created, dropped });
      throw error;
    }
  }

  /** Waits for the transaction that holds a lock to end; fails on a deadlock. */
  wait(holder: LockOwner): Promise<void> {
    return this.database.locks.wait(this.owner, holder);
  }

  /** Releases the transaction's locks, after both commit and rollback. */
  end(): void {
    this.database.locks.release(this.owner);
  }

  get hasChanges(): boolean {
    return this.epoch !== undefined;
  }

  find(name: string): TableView | undefined {
    const table = this.created.get(name) ?? this.findCommitted(name);
    if (table === undefined) return undefined;
    const existing = this.views.get(name);
    if (existing?.table === table) return existing;
    const { owner, snapshotOffset } = this;
    const view = new TableView(table, { locks: this.database.locks, owner, snapshotOffset });
    this.views.set(name, view);
    return view;
  }

  get(name: string): TableView {
    const view = this.find(name);
    if (view === undefined) throw new SqlError("42P01", `relation "${name}" does not exist`);
    return view;
  }

  create(definition: TableDefinition): void {
    this.database.locks.acquire(this.owner, `table ${definition.name}`);
    this.created.set(definition.name, new Table(definition));
  }

  drop(name: string): void {
    this.database.locks.acquire(this.owner, `table ${name}`);
    if (!this.created.delete(name)) this.dropped.add(name);
    this.views.delete(name);
  }

  /** Collects all changes for one log record; fails on a conflict. */
  collect(): readonly Change[] {
    for (const [name, view] of this.views) {
      if (this.created.get(name) === view.table) continue;
      if (this.database.find(name) !== view.table) throw createConflictError(name);
    }
    for (const name of this.created.keys()) {
      if (this.findCommitted(name) !== undefined) throw createConflictError(name);
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
