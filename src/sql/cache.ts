/** Limits on the size of a cache. */
export interface CacheLimits {
  readonly maxEntries: number;
  readonly maxBytes: number;
}

interface Entry<V> {
  readonly value: V;
  readonly bytes: number;
}

/**
 * An approximate LRU cache, bounded in entries and bytes. It has two generations: a value that is
 * used moves to the current one, and a full current generation replaces the previous one. Moving each
 * used value to the end of a single map would be exact but slow: the deleted slots of a key that is
 * used constantly accumulate in its hash bucket, and each lookup walks over all of them.
 */
export class LruCache<V> {
  private current = new Map<string, Entry<V>>();
  private previous = new Map<string, Entry<V>>();
  private currentBytes = 0;

  constructor(private readonly limits: CacheLimits) {}

  /** The number of entries. */
  get size(): number {
    return this.current.size + this.previous.size;
  }

  get(key: string): V | undefined {
    const currentEntry = this.current.get(key);
    if (currentEntry !== undefined) return currentEntry.value;
    const entry = this.previous.get(key);
    if (entry === undefined) return undefined;
    this.previous.delete(key);
    this.add(key, entry);
    return entry.value;
  }

  /** Stores `value`, unless it alone takes more than a sixteenth of the cache's bytes. */
  set(key: string, value: V, bytes: number): void {
    this.remove(key);
    if (bytes <= this.limits.maxBytes / 16) this.add(key, { value, bytes });
  }

  private add(key: string, entry: Entry<V>): void {
    const isFull =
      this.current.size >= Math.max(1, Math.floor(this.limits.maxEntries / 2)) ||
      this.currentBytes + entry.bytes > this.limits.maxBytes / 2;
    if (isFull) this.rotate();
    this.current.set(key, entry);
    this.currentBytes += entry.bytes;
  }

  private rotate(): void {
    this.previous = this.current;
    this.current = new Map();
    this.currentBytes = 0;
  }

  private remove(key: string): void {
    this.previous.delete(key);
    this.currentBytes -= this.current.get(key)?.bytes ?? 0;
    this.current.delete(key);
  }
}
