import type {
  Clock,
  Json,
  ObjectStore,
  Random,
  StoreChange,
  StoredObject,
  StoreRead,
  StoreWrite,
  Vm,
} from "../../src/model/index.js";

/** Runs all pending microtasks and immediates without advancing a fake clock. */
export const flushTasks = async () => {
  for (let i = 0; i < 20; i++) await Promise.resolve();
  await new Promise((resolve) => setImmediate(resolve));
};

interface Sleeper {
  readonly at: number;
  readonly wake: () => void;
}

/** A clock that only a test advances. */
export class FakeClock implements Clock {
  time = 0;
  private sleepers: Sleeper[] = [];

  now() {
    return this.time;
  }

  sleep(ms: number, signal?: AbortSignal) {
    return new Promise<void>((resolve, reject) => {
      const onAbort = () => {
        this.sleepers = this.sleepers.filter((s) => s !== sleeper);
        reject(signal?.reason as Error);
      };
      const wake = () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      };
      const sleeper = { at: this.time + ms, wake };
      this.sleepers.push(sleeper);
      signal?.addEventListener("abort", onAbort);
    });
  }

  async advance(ms: number) {
    const end = this.time + ms;
    for (;;) {
      await flushTasks();
      const due = this.sleepers.filter((s) => s.at <= end).sort((a, b) => a.at - b.at)[0];
      if (due === undefined) break;
      this.time = Math.max(this.time, due.at);
      this.sleepers = this.sleepers.filter((s) => s !== due);
      due.wake();
    }
    this.time = end;
  }

  /** Advances the time without waking sleepers, as when the process is paused. */
  jumpAhead(ms: number) {
    this.time += ms;
  }
}

/** Makes a pseudorandom generator whose numbers depend only on the seed. */
export const makeRandom = (seed: number): Random => {
  let state = seed >>> 0;
  const draw = () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
  return { draw };
};

type PutFault = "none" | "conflictOnce" | "lostBefore" | "lostAfter" | "down";

/** The platform's store in memory, with faults that a test sets. */
export class FakeStore implements ObjectStore {
  isDown = false;
  vms: readonly Vm[] = [];
  calls = 0;
  /** Faults of the next calls of `put`, in order. */
  putFaults: PutFault[] = [];
  /** Is called after each call took effect, before its answer is returned. */
  onCall: () => Promise<void> = () => Promise.resolve();
  private objects = new Map<string, StoredObject>();
  private version = 0;
  private watches: { handle: (change: StoreChange) => void; end: () => void; kind: string }[] = [];

  async get(kind: string, name: string): Promise<StoreRead<StoredObject>> {
    await this.begin();
    if (this.isDown) return { type: "unavailable", reason: "down" };
    const value = this.objects.get(`${kind}/${name}`);
    return value === undefined ? { type: "absent" } : { type: "found", value };
  }

  async list(kind: string): Promise<StoreRead<readonly StoredObject[]>> {
    await this.begin();
    if (this.isDown) return { type: "unavailable", reason: "down" };
    return { type: "found", value: [...this.objects.values()].filter((o) => o.kind === kind) };
  }

  async put(kind: string, name: string, value: Json, version: number): Promise<StoreWrite> {
    const fault = this.isDown ? "down" : (this.putFaults.shift() ?? "none");
    if (fault === "lostBefore") return { type: "unknown", reason: "timeout" };
    if (fault === "down") return { type: "unavailable", reason: "down" };
    const existing = this.objects.get(`${kind}/${name}`);
    if (fault === "conflictOnce" || (existing?.version ?? 0) !== version)
      return { type: "conflict" };
    const object = { kind, name, version: ++this.version, value };
    this.objects.set(`${kind}/${name}`, object);
    for (const watch of this.watches.filter((w) => w.kind === kind)) {
      watch.handle({ type: "changed", object });
    }
    await this.begin();
    if (fault === "lostAfter") return { type: "unknown", reason: "answer lost" };
    return { type: "written", object };
  }

  remove(): Promise<StoreWrite> {
    return Promise.resolve({ type: "conflict" });
  }

  watch(
    kind: string,
    _after: number,
    handle: (change: StoreChange) => void,
    signal: AbortSignal,
  ): Promise<void> {
    if (this.isDown) return Promise.resolve();
    return new Promise((end) => {
      const watch = { kind, handle, end };
      this.watches.push(watch);
      signal.addEventListener("abort", () => {
        this.watches = this.watches.filter((w) => w !== watch);
        end();
      });
    });
  }

  listVms(): Promise<StoreRead<readonly Vm[]>> {
    if (this.isDown) return Promise.resolve({ type: "unavailable", reason: "down" });
    return Promise.resolve({ type: "found", value: this.vms });
  }

  listGroups(): Promise<StoreRead<never[]>> {
    return Promise.resolve({ type: "found", value: [] });
  }

  /** Breaks all watches; with `silent` they stall without an error instead. */
  breakWatches(silent = false) {
    const broken = this.watches;
    this.watches = [];
    if (silent) return;
    for (const { handle, end } of broken) {
      handle({ type: "broken", reason: "reset" });
      end();
    }
  }

  countWatches() {
    return this.watches.length;
  }

  /** Copies the objects, for `restore`. */
  copy() {
    return new Map(this.objects);
  }

  /** Restores an older copy, as a restore from a backup does. */
  restore(objects: Map<string, StoredObject>) {
    this.objects = new Map(objects);
  }

  private async begin() {
    this.calls += 1;
    await this.onCall();
  }
}

/** The network between VMs, with links that a test cuts. */
export class FakeNetwork {
  /** Pairs of VM names, `a>b`, whose link is cut in both directions. */
  readonly cuts = new Set<string>();

  isCut(a: string, b: string) {
    return this.cuts.has(`${a}>${b}`) || this.cuts.has(`${b}>${a}`);
  }

  cut(a: readonly string[], b: readonly string[]) {
    for (const x of a) for (const y of b) this.cuts.add(`${x}>${y}`);
  }
}

export const makeVm = (name: string, dataCentre = "dc1", i = 1): Vm => ({
  name,
  dataCentre,
  peer: { host: `10.0.0.${i}`, port: 7432 },
  state: "live",
});
