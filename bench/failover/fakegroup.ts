import {
  type Clock,
  compareTerms,
  type ControlResult,
  formatTerm,
  type Group,
  type Target,
  type TargetControl,
  type Term,
} from "../../src/model/index.js";
import { FakeHost, type HostState } from "./fakehost.js";
import { defaultDelays, FakeLink, type LinkFault } from "./fakelink.js";
import { type FakeRecord, FakeTarget } from "./faketarget.js";

interface Member {
  readonly target: FakeTarget;
  readonly host: FakeHost;
}

/** Targets of one group in memory, the links of VMs to them, and the faults of both. */
export class FakeGroup {
  readonly group: Group;
  /** Who was promoted, in order. */
  readonly promotions: { readonly term: Term; readonly target: string }[] = [];
  private readonly fences: { readonly at: number; readonly term: Term; readonly target: string }[] =
    [];
  /** What must hold and did not. */
  readonly violations: string[] = [];
  /** Hears of each target that begins to lead a term. */
  onPromotion: (term: Term, target: FakeTarget) => void = () => undefined;
  private readonly members: ReadonlyMap<string, Member>;
  private readonly isolated = new Set<string>();
  private readonly links = new Map<string, FakeLink>();

  constructor(
    readonly clock: Clock,
    size = 3,
    private readonly delays = defaultDelays,
  ) {
    const names = Array.from({ length: size }, (_, i) => `t${i + 1}`);
    this.group = { name: "group", targets: names.map(describeTarget) };
    const makeMember = (name: string): Member => ({
      target: new FakeTarget(name),
      host: new FakeHost(),
    });
    this.members = new Map(names.map((name) => [name, makeMember(name)]));
  }

  get targets(): readonly FakeTarget[] {
    return [...this.members.values()].map((m) => m.target);
  }

  get(name: string): FakeTarget {
    return this.find(name).target;
  }

  setState(name: string, state: HostState): void {
    this.find(name).host.set(state);
    if (state === "up") this.replicate();
  }

  getState(name: string): HostState {
    return this.find(name).host.state;
  }

  setFault(vm: string, name: string, fault: LinkFault): void {
    this.link(vm, name).setFault(fault);
  }

  /** Cuts a target off from the others, or joins it to them again. */
  setIsolated(name: string, isIsolated: boolean): void {
    if (isIsolated) this.isolated.add(name);
    else this.isolated.delete(name);
    this.replicate();
  }

  setSlow(vm: string, name: string, extraMs: number): void {
    this.link(vm, name).extraMs = extraMs;
  }

  /** The port as a VM has it. */
  control(vm: string): TargetControl {
    const send = (
      target: Target,
      options: { readonly timeoutMs: number; readonly fresh?: boolean },
      run: (target: FakeTarget) => ControlResult | Promise<ControlResult>,
    ): Promise<ControlResult> =>
      this.link(vm, target.name).send(options, () => run(this.get(target.name)));
    return {
      getStatus: (target, options) => send(target, options, (t) => this.answerStatus(t, options)),
      fence: (target, term, timeoutMs) => send(target, { timeoutMs }, (t) => this.fence(t, term)),
      promote: (target, term, timeoutMs) =>
        send(target, { timeoutMs }, (t) => this.promote(t, term)),
      follow: (target, primary, term, timeoutMs) =>
        send(target, { timeoutMs }, (t) => this.follow(t, primary.name, term)),
    };
  }

  /** Runs a write at a target on behalf of a VM; when it committed, where the answer came. */
  async write(
    vm: string,
    name: string,
    write: string,
    timeoutMs: number,
  ): Promise<{ readonly at: number } | undefined> {
    let at: number | undefined;
    const result = await this.link(vm, name).send({ timeoutMs }, () => {
      const target = this.get(name);
      if (target.commit(write) !== undefined) at = this.clock.now();
      this.replicate();
      return { type: "accepted", status: target.status() };
    });
    return result.type === "accepted" && at !== undefined ? { at } : undefined;
  }

  /** When a majority came to stand fenced past a term; `Infinity` where none does. */
  findSupersededAt(term: Term): number {
    const times = this.targets.map((t) => {
      const past = this.fences.find((f) => f.target === t.name && compareTerms(f.term, term) > 0);
      return past?.at ?? Infinity;
    });
    const majority = Math.floor(times.length / 2) + 1;
    return times.sort((a, b) => a - b)[majority - 1] ?? Infinity;
  }

  /** Each follower gets the primary's log as it is now, after its lag. */
  replicate(): void {
    for (const { target: primary, host } of this.members.values()) {
      if (primary.role !== "primary" || host.state !== "up") continue;
      const log = [...primary.log];
      for (const replica of this.members.values()) {
        if (replica.target.follows === primary.name) void this.copy(replica, primary.name, log);
      }
    }
  }

  private async copy(
    { target, host }: Member,
    primary: string,
    log: readonly FakeRecord[],
  ): Promise<void> {
    await this.clock.sleep(this.delays.oneWayMs + target.lagMs);
    if (host.state === "dead" || this.getState(primary) === "dead") return;
    if (this.isolated.has(primary) || this.isolated.has(target.name)) return;
    await host.waitUntilUp();
    target.copy(primary, log);
  }

  private fence(target: FakeTarget, term: Term): ControlResult {
    const result = target.fence(term);
    this.noteFence(target);
    return result;
  }

  private noteFence({ name, fencedAt }: FakeTarget): void {
    this.fences.push({ at: this.clock.now(), term: fencedAt, target: name });
  }

  private promote(target: FakeTarget, term: Term): ControlResult {
    const result = target.promote(term);
    if (result.type === "accepted") this.notePromotion(term, target);
    this.replicate();
    return result;
  }

  private follow(target: FakeTarget, primary: string, term: Term): ControlResult {
    const result = target.follow(primary, term);
    this.noteFence(target);
    this.replicate();
    return result;
  }

  private notePromotion(term: Term, target: FakeTarget): void {
    const known = this.promotions.find((p) => compareTerms(p.term, term) === 0);
    if (known === undefined) {
      this.promotions.push({ term, target: target.name });
      this.onPromotion(term, target);
    } else if (known.target !== target.name) {
      this.violations.push(`${known.target} and ${target.name} lead ${formatTerm(term)}`);
    }
  }

  private async answerStatus(
    target: FakeTarget,
    options: Parameters<TargetControl["getStatus"]>[1],
  ): Promise<ControlResult> {
    const { after, waitMs } = options;
    const isSame =
      after?.mark.offset === target.mark.offset &&
      compareTerms(after.mark.term, target.mark.term) === 0 &&
      compareTerms(after.fencedAt, target.fencedAt) === 0;
    if (waitMs !== undefined && isSame) {
      const changed = new AbortController();
      target.onChange(() => changed.abort());
      await this.clock.sleep(waitMs, changed.signal).catch(() => undefined);
    }
    return { type: "accepted", status: target.status() };
  }

  private find(name: string): Member {
    const member = this.members.get(name);
    if (member === undefined) throw new Error(`no target ${name}`);
    return member;
  }

  private link(vm: string, name: string): FakeLink {
    const key = `${vm}>${name}`;
    const link = this.links.get(key) ?? new FakeLink(this.clock, this.find(name).host, this.delays);
    this.links.set(key, link);
    return link;
  }
}

function describeTarget(name: string): Target {
  const address = { host: "127.0.0.1", port: 5432 };
  return { name, dataCentre: name, address, slots: 2, connections: 16 };
}
