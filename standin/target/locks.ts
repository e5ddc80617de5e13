import { SqlError } from "./error.js";

/** The lock ownership of one open transaction. */
export class LockOwner {
  readonly names = new Set<string>();
  private resolveEnded: () => void = () => undefined;
  readonly ended = new Promise<void>((resolve) => (this.resolveEnded = resolve));

  end(): void {
    this.resolveEnded();
  }
}

/** Thrown when a statement must wait for another transaction to end and then be run again. */
export class LockedError extends Error {
  override readonly name = "LockedError";

  constructor(readonly holder: LockOwner) {
    super("another transaction holds a lock");
  }
}

/**
 * The locks on rows and unique keys that transactions hold until they end. Without them two
 * transactions could insert the same key: the second would continue and fail on the first one's
 * rows, whereas PostgreSQL makes it wait and then see that the key exists.
 */
export class Locks {
  private readonly holders = new Map<string, LockOwner>();
  private readonly waitsFor = new Map<LockOwner, LockOwner>();

  /** Acquires a lock; throws `LockedError` while another transaction holds it. */
  acquire(owner: LockOwner, name: string): void {
    const holder = this.holders.get(name);
    if (holder !== undefined && holder !== owner) throw new LockedError(holder);
    this.holders.set(name, owner);
    owner.names.add(name);
  }

  /** Releases all locks of a transaction and resumes the transactions that wait for it. */
  release(owner: LockOwner): void {
    for (const name of owner.names) this.holders.delete(name);
    owner.names.clear();
    owner.end();
  }

  /** Waits until `holder` ends; fails with a deadlock if it waits for `owner`, even indirectly. */
  async wait(owner: LockOwner, holder: LockOwner): Promise<void> {
    for (let other: LockOwner | undefined = holder; other; other = this.waitsFor.get(other)) {
      if (other === owner) throw new SqlError("40P01", "deadlock detected");
    }
    this.waitsFor.set(owner, holder);
    await holder.ended;
    this.waitsFor.delete(owner);
  }
}
