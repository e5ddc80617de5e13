import fc from "fast-check";
import type { Acknowledgement } from "../../src/model/index.js";
import { FakeFleet } from "./fakefleet.js";
import type { HostState } from "./fakehost.js";
import type { LinkFault } from "./fakelink.js";
import { VirtualClock } from "./virtualclock.js";

/** One thing that happens to a fleet; a fault stays until another step takes it back. */
export type FaultStep =
  | { readonly type: "wait"; readonly ms: number }
  | { readonly type: "write"; readonly vm: string; readonly mode: Acknowledgement }
  | { readonly type: "state"; readonly target: string; readonly state: HostState }
  | {
      readonly type: "link";
      readonly vm: string;
      readonly target: string;
      readonly fault: LinkFault;
    }
  | { readonly type: "slow"; readonly vm: string; readonly target: string; readonly ms: number }
  | { readonly type: "lag"; readonly target: string; readonly ms: number }
  | { readonly type: "pause"; readonly vm: string; readonly isPaused: boolean }
  | { readonly type: "restart"; readonly vm: string }
  | { readonly type: "mute"; readonly vm: string; readonly isMute: boolean }
  | { readonly type: "switch"; readonly vm: string; readonly target: string };

const targets = ["t1", "t2", "t3"];
const vms = ["v1", "v2", "v3"];
/** VMs that each believe they own the group. */
const owners = ["v1", "v2"];

/** Long enough for a healed group to find a primary, every back-off and timeout counted. */
const healedMs = 15_000;
const writeMs = 2000;

/** Draws runs of steps for fast-check. */
export function drawSteps(maxLength: number): fc.Arbitrary<readonly FaultStep[]> {
  const target = fc.constantFrom(...targets);
  const vm = fc.constantFrom(...vms);
  const owner = fc.constantFrom(...owners);
  const mode = fc.constantFrom<Acknowledgement>("replicated", "witnessed");
  const state = fc.constantFrom<HostState>("up", "dead", "frozen");
  const fault = fc.constantFrom<LinkFault>("none", "requestsLost", "answersLost", "cut", "silent");
  const make = <T extends FaultStep["type"], R>(
    type: T,
    values: { [K in keyof R]: fc.Arbitrary<R[K]> },
  ) => fc.record(values).map((v) => ({ type, ...v }));
  const step = fc.oneof(
    { weight: 5, arbitrary: make("wait", { ms: fc.constantFrom(1, 20, 300, 1500) }) },
    { weight: 5, arbitrary: make("write", { vm: owner, mode }) },
    { weight: 3, arbitrary: make("state", { target, state }) },
    { weight: 3, arbitrary: make("link", { vm, target, fault }) },
    make("slow", { vm, target, ms: fc.constantFrom(0, 60, 400) }),
    make("lag", { target, ms: fc.constantFrom(0, 10, 1000) }),
    make("pause", { vm: owner, isPaused: fc.boolean() }),
    make("restart", { vm: owner }),
    make("mute", { vm, isMute: fc.boolean() }),
    make("switch", { vm: owner, target }),
  );
  return fc.array(step, { maxLength, size: "max" });
}

/** What came of a run of steps. */
export interface StepsReport {
  readonly violations: readonly string[];
  readonly acknowledged: number;
  readonly promotions: number;
  /** Whether writes through each owner were acknowledged again after all faults had ended. */
  readonly isHealed: boolean;
}

/** Runs steps on a fresh fleet of two owners, ends all faults and tells what came of it. */
export async function runSteps(seed: number, steps: readonly FaultStep[]): Promise<StepsReport> {
  const clock = new VirtualClock();
  const fleet = new FakeFleet({ clock, seed });
  for (const name of owners) fleet.watch(name);
  await clock.advance(1000);
  for (const [i, step] of steps.entries()) await applyStep(fleet, clock, step, `w${i}`);
  endFaults(fleet);
  await clock.advance(healedMs);
  const last = owners.map((name) => fleet.write(name, `last-${name}`, "replicated", writeMs));
  await clock.advance(2 * writeMs);
  const outcomes = await Promise.all(last);
  const primary = fleet.watch("v1").view().primary?.target;
  if (primary !== undefined) fleet.checkKept(primary);
  await fleet.dispose();
  return {
    violations: fleet.violations,
    acknowledged: fleet.acknowledged.length,
    promotions: fleet.group.promotions.length,
    isHealed: outcomes.every((outcome) => outcome === "acknowledged"),
  };
}

async function applyStep(
  fleet: FakeFleet,
  clock: VirtualClock,
  step: FaultStep,
  write: string,
): Promise<void> {
  switch (step.type) {
    case "wait":
      await clock.advance(step.ms);
      return;
    case "write":
      void fleet.write(step.vm, write, step.mode, writeMs);
      return;
    case "state":
      fleet.group.setState(step.target, step.state);
      return;
    case "link":
      fleet.group.setFault(step.vm, step.target, step.fault);
      return;
    case "slow":
      fleet.group.setSlow(step.vm, step.target, step.ms);
      return;
    case "lag":
      fleet.group.get(step.target).lagMs = step.ms;
      return;
    case "pause":
      setPaused(fleet, step.vm, step.isPaused);
      return;
    case "restart":
      await fleet.stop(step.vm);
      fleet.watch(step.vm);
      return;
    case "mute":
      if (step.isMute) fleet.mute.add(step.vm);
      else fleet.mute.delete(step.vm);
      return;
    case "switch":
      fleet.watch(step.vm).switchFrom(step.target);
      return;
  }
}

function setPaused(fleet: FakeFleet, vm: string, isPaused: boolean): void {
  if (isPaused) fleet.vm(vm).pause();
  else fleet.vm(vm).resume();
}

function endFaults(fleet: FakeFleet): void {
  fleet.mute.clear();
  for (const vm of vms) {
    fleet.vm(vm).resume();
    for (const target of targets) {
      fleet.group.setFault(vm, target, "none");
      fleet.group.setSlow(vm, target, 0);
    }
  }
  for (const target of targets) {
    fleet.group.get(target).lagMs = 0;
    fleet.group.setState(target, "up");
  }
}
