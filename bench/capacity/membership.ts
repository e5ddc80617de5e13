import {
  applyMembershipEvent,
  buildProbeOrder,
  collectNews,
  createMembershipState,
  listLive,
  type MembershipEvent,
  type MembershipState,
} from "../../src/controller/membership/index.js";
import type { PeerHello, Vm } from "../../src/model/index.js";
import { buildVms } from "./build.js";
import { countBytes, measureHeap, measureMicros, type Sample } from "./measure.js";

const newsPerMessage = 6;

/** Measures the failure detector by the number of VMs. */
export function measureMembership(sizes: readonly number[]): readonly Sample[] {
  return sizes.flatMap((size) => {
    const vms = buildVms(size);
    const state = buildState(vms);
    const sample = (what: string, value: number, unit: string): Sample => ({
      role: "membership",
      what,
      size,
      value,
      unit,
    });
    const hello = buildHello(state, vms);
    return [
      sample(
        "state",
        measureHeap(() => buildState(buildVms(size))),
        "bytes",
      ),
      sample("tick", measureMicros(makeTicks(state)), "µs"),
      sample("heard, no news", measureMicros(apply(state, buildHeard(vms[1]))), "µs"),
      sample("heard, one change", measureMicros(apply(state, buildNews(vms))), "µs"),
      sample("list read", measureMicros(apply(state, { type: "listed", now: 1, vms })), "µs"),
      sample(
        "live list",
        measureMicros(() => listLive(state)),
        "µs",
      ),
      sample(
        "round",
        measureMicros(() => buildProbeOrder(state)),
        "µs",
      ),
      sample("probe with 6 news", countBytes(hello), "bytes of JSON"),
      sample("list", countBytes(vms), "bytes of JSON"),
    ];
  });
}

function buildState(vms: readonly Vm[]): MembershipState {
  const [self] = vms;
  if (self === undefined) throw new Error("no VM");
  return step(createMembershipState(self, "1764700000000.0", 0), { type: "listed", now: 0, vms });
}

function step(state: MembershipState, event: MembershipEvent): MembershipState {
  const applied = applyMembershipEvent(state, event);
  return applied.type === "applied" ? applied.state : state;
}

function apply(state: MembershipState, event: MembershipEvent): () => void {
  return () => {
    step(state, event);
  };
}

function makeTicks(start: MembershipState): () => void {
  let state = start;
  let now = 0;
  return () => {
    now += 1000;
    state = step(state, { type: "tick", now });
  };
}

function buildHeard(vm: Vm | undefined): MembershipEvent {
  const name = vm?.name ?? "";
  const hello: PeerHello = { vm: name, incarnation: "", state: "ready", revision: 1 };
  return { type: "heard", now: 1, hello };
}

function buildNews(vms: readonly Vm[]): MembershipEvent {
  const [, sender, about] = vms;
  const hello = { vm: sender?.name ?? "", incarnation: "", state: "ready", revision: 1 } as const;
  const news = about && [{ vm: about, incarnation: "1764700000000.0", state: "down" as const }];
  return { type: "heard", now: 1, hello: news === undefined ? hello : { ...hello, news } };
}

function buildHello(state: MembershipState, vms: readonly Vm[]): PeerHello {
  const full = vms.slice(1, 1 + newsPerMessage).reduce((next, vm) => {
    const news = [{ vm, incarnation: "1764700000000.0", state: "down" as const }];
    const hello = { vm: vms[1]?.name ?? "", incarnation: "", state: "ready", revision: 1 } as const;
    return step(next, { type: "heard", now: 1, hello: { ...hello, news } });
  }, state);
  const { vm, incarnation } = state.self;
  const news = collectNews(full, newsPerMessage);
  return { vm: vm.name, incarnation, state: "ready", revision: 123_456, news };
}
