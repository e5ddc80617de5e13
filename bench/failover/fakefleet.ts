import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { FailoverTimings } from "../../src/controller/failover/index.js";
import { type GapSplit, GroupWatch, type WatchSafeguards } from "../../src/groupwatch/index.js";
import { type Logger, silentLogger } from "../../src/log/index.js";
import type { Acknowledgement, Clock, PeerClient, Random, Term } from "../../src/model/index.js";
import { FakeGroup } from "./fakegroup.js";
import type { FakeDelays } from "./fakelink.js";
import { FakeVm } from "./fakevm.js";

/** First numbers that a generator draws from a small seed, and that are all alike. */
const dullNumbers = 16;

/** A random source with a fixed seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let i = 0; i < dullNumbers; i += 1) generator.next();
  return { draw: () => (generator.next() >>> 0) / 2 ** 32 };
}

/** What a fake fleet is made of. */
export interface FleetOptions {
  readonly clock: Clock;
  readonly seed: number;
  readonly targets?: number;
  readonly vms?: number;
  readonly delays?: FakeDelays;
  readonly timings?: FailoverTimings;
  readonly safeguards?: WatchSafeguards;
  readonly log?: Logger;
  readonly onGap?: (vm: string, gapMs: number, split: GapSplit) => void;
}

/** What came of a write. */
export type WriteOutcome = "acknowledged" | "notRun" | "mayHaveRun";

/** A write whose caller was told that it is kept. */
interface Acknowledged {
  readonly write: string;
  readonly mode: Acknowledgement;
}

/** For one statement to be answered. */
const statementMs = 500;

/** VMs before one fake group, each with a watch that may be started, and checks of what must hold. */
export class FakeFleet {
  readonly group: FakeGroup;
  readonly vms: readonly FakeVm[];
  /** VMs that answer no peer. */
  readonly mute = new Set<string>();
  readonly acknowledged: Acknowledged[] = [];
  /** What must hold and did not. */
  get violations(): readonly string[] {
    return this.group.violations;
  }

  private readonly watches = new Map<string, GroupWatch>();
  private readonly random: Random;

  constructor(private readonly options: FleetOptions) {
    const { clock, seed, targets, vms, delays } = options;
    this.group = new FakeGroup(clock, targets, delays);
    this.random = createRandom(seed);
    const names = Array.from({ length: vms ?? 3 }, (_, i) => `v${i + 1}`);
    this.vms = names.map((name) => new FakeVm(name, clock, this.group.control(name)));
    this.group.onPromotion = (term, target) => this.checkPromotion(term, target.name);
  }

  vm(name: string): FakeVm {
    const vm = this.vms.find((v) => v.name === name);
    if (vm === undefined) throw new Error(`no VM ${name}`);
    return vm;
  }

  /** The watch at a VM, started when first asked for. */
  watch(name: string): GroupWatch {
    const watch = this.watches.get(name) ?? this.startWatch(this.vm(name));
    this.watches.set(name, watch);
    return watch;
  }

  /** Ends a VM's watch, as when its process dies or its ownership moves. */
  async stop(name: string): Promise<void> {
    await this.watches.get(name)?.dispose();
    this.watches.delete(name);
  }

  /** Parts a VM and a target from all others, or joins them again. */
  setPartition(vm: string, target: string, isOn: boolean): void {
    for (const { name } of this.vms) {
      for (const t of this.group.targets) {
        const isParted = (name === vm) !== (t.name === target);
        if (isParted) this.group.setFault(name, t.name, isOn ? "cut" : "none");
      }
    }
    this.group.setIsolated(target, isOn);
    if (isOn) this.mute.add(vm);
    else this.mute.delete(vm);
  }

  async dispose(): Promise<void> {
    for (const name of [...this.watches.keys()]) await this.stop(name);
  }

  /** Writes through a VM, as its execution does: send, read the mark, wait to be confirmed. */
  async write(
    name: string,
    write: string,
    mode: Acknowledgement,
    timeoutMs: number,
  ): Promise<WriteOutcome> {
    const watch = this.watch(name);
    const { primary } = watch.view();
    if (primary === undefined) return "notRun";
    const vm = this.vm(name);
    const committed = await vm.hold(this.group.write(name, primary.target, write, statementMs));
    if (committed === undefined) {
      watch.observeFailure(primary.target);
      return "mayHaveRun";
    }
    const reading = await watch.readMark(primary.target, mode);
    if (reading.type !== "read") return "mayHaveRun";
    const { term } = primary;
    const stop = new AbortController();
    const giveUp = (): void => stop.abort();
    vm.clock.sleep(timeoutMs, stop.signal).then(giveUp, giveUp);
    const { mark, askedAt } = reading;
    const confirmation = await watch.confirm(term, mark, mode, stop.signal, askedAt);
    stop.abort();
    if (confirmation.type !== "confirmed") return "mayHaveRun";
    this.noteAcknowledged({ write, mode }, term, committed.at);
    return "acknowledged";
  }

  /** Notes where an acknowledged write is missing from a target's log. */
  checkKept(name: string): void {
    const kept = new Set(this.group.get(name).log.map((r) => r.write));
    for (const { write, mode } of this.acknowledged) {
      if (mode === "replicated" && !kept.has(write)) {
        this.group.violations.push(`${write} was acknowledged and is missing at ${name}`);
      }
    }
  }

  /**
   * A promotion may reach a target that was frozen long after its term was superseded. Such a target
   * is no primary of the group: nothing is acknowledged there, which each acknowledgement checks.
   */
  private checkPromotion(term: Term, target: string): void {
    if (this.group.findSupersededAt(term) === Infinity) this.checkKept(target);
  }

  private noteAcknowledged(acknowledged: Acknowledged, term: Term, committedAt: number): void {
    if (this.group.findSupersededAt(term) <= committedAt) {
      this.group.violations.push(`${acknowledged.write} was acknowledged by a superseded primary`);
    }
    this.acknowledged.push(acknowledged);
  }

  private startWatch(vm: FakeVm): GroupWatch {
    const { timings, safeguards, log, onGap } = this.options;
    const watch = new GroupWatch({
      group: this.group.group,
      vm: vm.name,
      control: vm.control,
      peers: this.peers(vm),
      clock: vm.clock,
      random: this.random,
      log: log ?? silentLogger,
      findHelpers: () => this.vms.filter((v) => v !== vm),
      ...(timings === undefined ? {} : { timings }),
      ...(safeguards === undefined ? {} : { safeguards }),
      onGap: (gapMs, split) => onGap?.(vm.name, gapMs, split),
    });
    watch.start();
    return watch;
  }

  private peers(asker: FakeVm): Pick<PeerClient, "checkTarget"> {
    return {
      checkTarget: (via, _group, name, timeoutMs) => {
        const isMute = this.mute.has(via.name) || this.mute.has(asker.name);
        const target = this.group.group.targets.find((t) => t.name === name);
        if (isMute || target === undefined) {
          return this.options.clock
            .sleep(timeoutMs)
            .then(() => ({ type: "silent", reason: "timeout" }) as const);
        }
        return this.vm(via.name).control.getStatus(target, { timeoutMs, fresh: true });
      },
    };
  }
}
