/** What is to happen in virtual time: a binary heap, in order of time and then of entry. */
export class Agenda {
  private readonly heap: Entry[] = [];
  private entered = 0;
  now = 0;

  /** Enters something to run at a time. */
  add(at: number, run: () => void): void {
    this.heap.push({ at, order: this.entered++, run });
    this.rise(this.heap.length - 1);
  }

  /** Runs everything up to a time. */
  run(until: number): void {
    for (let next = this.heap[0]; next !== undefined && next.at <= until; next = this.heap[0]) {
      this.removeFirst();
      this.now = next.at;
      next.run();
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    this.sink(0);
  }

  private rise(start: number): void {
    for (let i = start; i > 0;) {
      const parent = (i - 1) >> 1;
      if (!this.isBefore(i, parent)) return;
      this.swap(i, parent);
      i = parent;
    }
  }

  private sink(start: number): void {
    for (let i = start; ;) {
      const children = [2 * i + 1, 2 * i + 2].filter((c) => c < this.heap.length);
      const least = children.reduce((a, b) => (this.isBefore(b, a) ? b : a), i);
      if (least === i) return;
      this.swap(i, least);
      i = least;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const [one, two] = [this.heap[a], this.heap[b]];
    if (one === undefined || two === undefined) return false;
    return one.at < two.at || (one.at === two.at && one.order < two.order);
  }

  private swap(a: number, b: number): void {
    const [one, two] = [this.heap[a], this.heap[b]];
    if (one === undefined || two === undefined) return;
    this.heap[a] = two;
    this.heap[b] = one;
  }
}

interface Entry {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}
