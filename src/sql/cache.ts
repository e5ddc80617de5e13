/** Bounds of a cache. */
export interface CacheBounds {
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
  private young = new Map<string, Entry<V>>();
  private old = new Map<string, Entry<V>>();
  private youngBytes = 0;

  constructor(private readonly bounds: CacheBounds) {}

  /** Entries held now. */
  get size(): number {
    return this.young.size + this.old.size;
  }

  get(key: string): V | undefined {
    const known = this.young.get(key);
    if (known !== undefined) return known.value;
    const entry = this.old.get(key);
    if (entry === undefined) return undefined;
    this.old.delete(key);
    this.add(key, entry);
    return entry.value;
  }

  /** Keeps `value`, unless it alone would fill a large part of the cache. */
  set(key: string, value: V, bytes: number): void {
    this.remove(key);
    if (bytes <= this.bounds.maxBytes / 16) this.add(key, { value, bytes });
  }

  private add(key: string, entry: Entry<V>): void {
    const isFull =
      this.young.size >= Math.max(1, Math.floor(this.bounds.maxEntries / 2)) ||
      this.youngBytes + entry.bytes > this.bounds.maxBytes / 2;
    if (isFull) this.age();
    this.young.set(key, entry);
    this.youngBytes += entry.bytes;
  }

  private age(): void {
    this.old = this.young;
    this.young = new Map();
    this.youngBytes = 0;
  }

  private remove(key: string): void {
    this.old.delete(key);
    this.youngBytes -= this.young.get(key)?.bytes ?? 0;
    this.young.delete(key);
  }
}
