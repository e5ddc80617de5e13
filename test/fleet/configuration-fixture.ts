import { ConfigurationTracker } from "../../src/fleet/index.js";
import { silentLogger, type LogEvent, type Logger } from "../../src/log/index.js";
import type { PeerClient, StoreRead, Vm } from "../../src/model/index.js";
import { makeRandom, type FakeClock, type FakeNetwork, type FakeStore } from "./fakes.js";

const down = (reason: string): StoreRead<never> => ({ type: "unavailable", reason });

/** The configuration trackers of some proxies on one fake store, network and clock. */
export class ConfigurationFixture {
  readonly trackers = new Map<string, ConfigurationTracker>();
  readonly paused = new Set<string>();
  /** Every revision that each run of a tracker adopted, in order. */
  readonly adopted: { readonly vm: string; readonly run: number; readonly revision: number }[] = [];
  readonly events: { readonly vm: string; readonly event: LogEvent }[] = [];
  private run = 0;

  constructor(
    private readonly ports: {
      readonly store: FakeStore;
      readonly network: FakeNetwork;
      readonly clock: FakeClock;
    },
    readonly vms: readonly Vm[],
  ) {}

  start(name: string): Promise<void> {
    const run = ++this.run;
    const { store, clock } = this.ports;
    const tracker = new ConfigurationTracker({
      vm: name,
      store,
      peers: this.makeClient(name),
      clock,
      random: makeRandom(run),
      logger: this.makeLogger(name),
      listLive: () => this.vms,
    });
    tracker.subscribe(({ revision }) => this.adopted.push({ vm: name, run, revision }));
    this.trackers.set(name, tracker);
    return tracker.start();
  }

  async startAll(): Promise<void> {
    const started = this.vms.map((vm) => this.start(vm.name));
    await this.ports.clock.advance(2000);
    await Promise.all(started);
  }

  stop(name: string): void {
    this.trackers.get(name)?.dispose();
    this.trackers.delete(name);
  }

  /** Gives each proxy the hello of one other, as probes do. */
  exchangeHellos(round: number): void {
    const names = [...this.trackers.keys()];
    for (const [i, name] of names.entries()) {
      const other = names[(i + round) % names.length];
      if (other === undefined || other === name || !this.canReach(other, name)) continue;
      const revision = this.trackers.get(other)?.getCurrent().revision ?? 0;
      this.trackers
        .get(name)
        ?.receiveHello({ vm: other, incarnation: "1.0", state: "ready", revision });
    }
  }

  listRevisions(): readonly number[] {
    return [...this.trackers.values()].map((tracker) => tracker.getCurrent().revision);
  }

  private canReach(a: string, b: string): boolean {
    return !this.ports.network.isCut(a, b) && !this.paused.has(a) && !this.paused.has(b);
  }

  private makeClient(from: string): PeerClient {
    const reach = (vm: Vm) =>
      this.canReach(from, vm.name) ? this.trackers.get(vm.name) : undefined;
    return {
      probe: () => Promise.resolve({ type: "silent", reason: "not here" }),
      probeThrough: () => Promise.resolve({ type: "silent", reason: "not here" }),
      checkTarget: () => Promise.resolve({ type: "unreachable", reason: "not here" }),
      fetchConfiguration: (vm, after) =>
        Promise.resolve(reach(vm)?.answerFetch(after) ?? down("cut")),
      pushConfiguration: (vm, json) => {
        const tracker = reach(vm);
        if (tracker === undefined) return Promise.resolve(down("cut"));
        return Promise.resolve({ type: "found", value: tracker.receivePush(json) });
      },
    };
  }

  private makeLogger(vm: string): Logger {
    return {
      write: (event, fields) => {
        this.events.push({ vm, event });
        silentLogger.write(event, fields);
      },
    };
  }
}
