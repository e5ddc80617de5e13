import { SqlError } from "./error.js";

/** What holds locks: one open transaction. */
export class LockOwner {
  readonly names = new Set<string>();
  private finish: () => void = () => undefined;
  readonly ended = new Promise<void>((resolve) => (this.finish = resolve));

  end(): void {
    this.finish();
  }
}

/** Thrown when a statement has to wait for another transaction and then begin anew. */
export class LockedError extends Error {
  override readonly name = "LockedError";

  constructor(readonly holder: LockOwner) {
    super("another transaction holds a lock");
  }
}

/**
 * The locks on rows and unique keys that open transactions hold up to their end. Without them two
 * transactions could both claim one key: the second would run on and fail on the first one's rows,
 * where PostgreSQL lets it wait and then see that the key is taken.
 */
export class Locks {
  private readonly holders = new Map<string, LockOwner>();
  private readonly waits = new Map<LockOwner, LockOwner>();

  /** Takes a lock, or throws `LockedError` while another transaction holds it. */
  take(owner: LockOwner, name: string): void {
    const holder = this.holders.get(name);
    if (holder !== undefined && holder !== owner) throw new LockedError(holder);
    this.holders.set(name, owner);
    owner.names.add(name);
  }

  /** Releases all that a transaction holds. */
  release(owner: LockOwner): void {
    for (const name of owner.names) this.holders.delete(name);
    owner.names.clear();
    owner.end();
  }

  /** Waits for a transaction's end; fails when that one waits for this one, directly or not. */
  async wait(owner: LockOwner, holder: LockOwner): Promise<void> {
    for (let other: LockOwner | undefined = holder; other; other = this.waits.get(other)) {
      if (other === owner) throw new SqlError("40P01", "deadlock detected");
    }
    this.waits.set(owner, holder);
    await holder.ended;
    this.waits.delete(owner);
  }
}
