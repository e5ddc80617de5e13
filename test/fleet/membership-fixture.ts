import { openIncarnation } from "../../src/controller/membership/index.js";
import { MembershipTracker } from "../../src/fleet/index.js";
import type { LogEvent } from "../../src/log/index.js";
import type { PeerClient, PeerHello, ProbeResult, Vm } from "../../src/model/index.js";
import { makeRandom, type FakeClock, type FakeNetwork, type FakeStore } from "./fakes.js";

/** The membership trackers of some VMs on one fake store, network and clock. */
export class MembershipFixture {
  readonly trackers = new Map<string, MembershipTracker>();
  readonly paused = new Set<string>();
  readonly events: { readonly vm: string; readonly event: LogEvent }[] = [];

  constructor(
    private readonly ports: {
      readonly store: FakeStore;
      readonly network: FakeNetwork;
      readonly clock: FakeClock;
    },
    readonly vms: readonly Vm[],
  ) {}

  async startAll(): Promise<void> {
    this.ports.store.vms = this.vms;
    for (const vm of this.vms) await this.start(vm.name);
  }

  async start(name: string, seeds: readonly Vm["peer"][] = []): Promise<void> {
    const vm = this.find(name);
    const { store, clock } = this.ports;
    const tracker = new MembershipTracker({
      vm,
      incarnation: openIncarnation(clock.now() + 1),
      store,
      peers: this.makeClient(name),
      clock,
      random: makeRandom(name.length),
      logger: { write: (event) => void this.events.push({ vm: name, event }) },
      getRevision: () => 1,
      seeds,
    });
    this.trackers.set(name, tracker);
    await tracker.start();
    tracker.setState("ready");
  }

  stop(name: string): void {
    this.trackers.get(name)?.dispose();
    this.trackers.delete(name);
  }

  stopAll(): void {
    for (const name of [...this.trackers.keys()]) this.stop(name);
  }

  /** Lists the names of the VMs that are live according to `name`, sorted and joined. */
  listLiveNames(name: string): string {
    const live = this.trackers.get(name)?.listLive() ?? [];
    return live
      .map((vm) => vm.name)
      .sort()
      .join(" ");
  }

  private find(name: string): Vm {
    const vm = this.vms.find((v) => v.name === name);
    if (vm === undefined) throw new Error(`no VM ${name}`);
    return vm;
  }

  private makeClient(from: string): PeerClient {
    const { network, clock } = this.ports;
    const probe = async (to: Vm, hello: PeerHello, timeoutMs: number): Promise<ProbeResult> => {
      const name = this.vms.find((vm) => vm.peer.host === to.peer.host)?.name ?? "";
      const tracker = this.trackers.get(name);
      const isUnreachable =
        network.isCut(from, name) || this.paused.has(name) || this.paused.has(from);
      if (tracker === undefined || isUnreachable) {
        await clock.sleep(timeoutMs);
        return { type: "silent", reason: "timeout" };
      }
      return { type: "answered", hello: tracker.exchangeHello(hello) };
    };
    return {
      probe,
      probeThrough: async (via, vm, _hello, timeoutMs) => {
        const helper = this.trackers.get(via.name);
        if (helper === undefined || network.isCut(from, via.name) || this.paused.has(via.name)) {
          await clock.sleep(timeoutMs);
          return { type: "silent", reason: "no helper" };
        }
        return helper.probeForPeer(vm);
      },
      checkTarget: () => Promise.resolve({ type: "unreachable", reason: "not here" }),
      fetchConfiguration: () => Promise.resolve({ type: "absent" }),
      pushConfiguration: () => Promise.resolve({ type: "found", value: 1 }),
    };
  }
}
