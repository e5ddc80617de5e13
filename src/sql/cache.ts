/** Bounds of a cache. */
export interface CacheBounds {
  readonly maxEntries: number;
  readonly maxBytes: number;
}

interface Entry<V> {
  readonly value: V;
  readonly bytes: number;
}

/** Keeps the values used last, within a number of entries and of bytes. */
export class LruCache<V> {
  private readonly entries = new Map<string, Entry<V>>();
  private bytes = 0;

  constructor(private readonly bounds: CacheBounds) {}

  /** Entries held now. */
  get size(): number {
    return this.entries.size;
  }

  get(key: string): V | undefined {
    const entry = this.entries.get(key);
    if (entry === undefined) return undefined;
    this.entries.delete(key);
    this.entries.set(key, entry);
    return entry.value;
  }

  /** Keeps `value`, unless it alone would fill a large part of the cache. */
  set(key: string, value: V, bytes: number): void {
    if (bytes > this.bounds.maxBytes / 16) return;
    this.remove(key);
    this.entries.set(key, { value, bytes });
    this.bytes += bytes;
    for (const oldest of this.entries.keys()) {
      if (this.entries.size <= this.bounds.maxEntries && this.bytes <= this.bounds.maxBytes) break;
      this.remove(oldest);
    }
  }

  private remove(key: string): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.delete(key);
    this.bytes -= entry.bytes;
  }
}
