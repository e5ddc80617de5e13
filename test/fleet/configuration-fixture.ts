import { ConfigurationTracker } from "../../src/fleet/index.js";
import { silentLogger, type LogEvent, type Logger } from "../../src/log/index.js";
import type { PeerClient, StoreRead, Vm } from "../../src/model/index.js";
import { makeRandom, type FakeClock, type FakeNetwork, type FakeStore } from "./fakes.js";

const down = (reason: string): StoreRead<never> => ({ type: "unavailable", reason });

/** A few proxies' configuration keepers over one fake store, network and clock. */
export class ConfigurationFixture {
  readonly keepers = new Map<string, ConfigurationTracker>();
  readonly paused = new Set<string>();
  /** Every revision that each run of a keeper had in force, in order. */
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
    const keeper = new ConfigurationTracker({
      vm: name,
      store,
      peers: this.makeClient(name),
      clock,
      random: makeRandom(run),
      logger: this.makeLogger(name),
      listLive: () => this.vms,
    });
    keeper.subscribe(({ revision }) => this.adopted.push({ vm: name, run, revision }));
    this.keepers.set(name, keeper);
    return keeper.start();
  }

  async startAll(): Promise<void> {
    const started = this.vms.map((vm) => this.start(vm.name));
    await this.ports.clock.advance(2000);
    await Promise.all(started);
  }

  stop(name: string): void {
    this.keepers.get(name)?.dispose();
    this.keepers.delete(name);
  }

  /** Lets each proxy hear one other's hello, as probes do. */
  exchangeHellos(round: number): void {
    const names = [...this.keepers.keys()];
    for (const [i, name] of names.entries()) {
      const other = names[(i + round) % names.length];
      if (other === undefined || other === name || !this.canReach(other, name)) continue;
      const revision = this.keepers.get(other)?.getCurrent().revision ?? 0;
      this.keepers
        .get(name)
        ?.receiveHello({ vm: other, incarnation: "1.0", state: "ready", revision });
    }
  }

  listRevisions(): readonly number[] {
    return [...this.keepers.values()].map((keeper) => keeper.getCurrent().revision);
  }

  private canReach(a: string, b: string): boolean {
    return !this.ports.network.isCut(a, b) && !this.paused.has(a) && !this.paused.has(b);
  }

  private makeClient(from: string): PeerClient {
    const reach = (vm: Vm) =>
      this.canReach(from, vm.name) ? this.keepers.get(vm.name) : undefined;
    return {
      probe: () => Promise.resolve({ type: "silent", reason: "not here" }),
      probeThrough: () => Promise.resolve({ type: "silent", reason: "not here" }),
      checkTarget: () => Promise.resolve({ type: "unreachable", reason: "not here" }),
      fetchConfiguration: (vm, after) =>
        Promise.resolve(reach(vm)?.answerFetch(after) ?? down("cut")),
      pushConfiguration: (vm, json) => {
        const keeper = reach(vm);
        if (keeper === undefined) return Promise.resolve(down("cut"));
        return Promise.resolve({ type: "found", value: keeper.receivePush(json) });
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
