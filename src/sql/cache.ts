/** Bounds of a cache. */
export interface CacheLimits {
  readonly maxEntries: number;
  readonly maxBytes: number;
}

interface Entry<V> {
  readonly value: V;
  readonly bytes: number;
}

/**
 * Keeps the values used lately, within a number of entries and of bytes, in two generations: what is
 * used moves to the younger, and a full younger one takes the older one's place. Putting each value
 * used at the end of one map is exact but slow: the holes of a key that is used all the time pile up
 * in its bucket, and each use walks them all.
 */
export class LruCache<V> {
  private current = new Map<string, Entry<V>>();
  private previous = new Map<string, Entry<V>>();
  private currentBytes = 0;

  constructor(private readonly limits: CacheLimits) {}

  /** Entries held now. */
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

  /** Keeps `value`, unless it alone would fill a large part of the cache. */
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
