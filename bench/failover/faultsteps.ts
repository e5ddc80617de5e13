import fc from "fast-check";
import type { Acknowledgement } from "../../src/model/index.js";
import type { WatchSafeguards } from "../../src/groupwatch/index.js";
import { FakeFleet } from "./fakefleet.js";
import type { HostState } from "./fakehost.js";
import type { LinkFault } from "./fakelink.js";
import { VirtualClock } from "./virtualclock.js";

/** What goes wrong for a while. */
export type Fault =
  | { readonly type: "host"; readonly target: string; readonly state: HostState }
  | {
      readonly type: "link";
      readonly vm: string;
      readonly target: string;
      readonly fault: LinkFault;
    }
  | { readonly type: "slow"; readonly vm: string; readonly target: string; readonly ms: number }
  | { readonly type: "lag"; readonly target: string; readonly ms: number }
  | { readonly type: "partition"; readonly vm: string; readonly target: string }
  | { readonly type: "pause"; readonly vm: string }
  | { readonly type: "mute"; readonly vm: string };

/** One thing that happens to a fleet. */
export type FaultStep =
  | { readonly type: "wait"; readonly ms: number }
  | { readonly type: "write"; readonly vm: string; readonly mode: Acknowledgement }
  | { readonly type: "restart"; readonly vm: string }
  | { readonly type: "switch"; readonly vm: string; readonly target: string }
  | { readonly type: "fault"; readonly fault: Fault; readonly forMs: number };

const targets = ["t1", "t2", "t3"];
const vms = ["v1", "v2", "v3"];
/** VMs that each believe they own the group. */
const owners = ["v1", "v2"];

/** Until the last fault is over and the group has found a primary, back-off and timeouts counted. */
const healedMs = 6000 + 15_000;
const writeMs = 2000;

/** Draws runs of steps for fast-check. */
export function drawSteps(maxLength: number): fc.Arbitrary<readonly FaultStep[]> {
  const mode = fc.constantFrom<Acknowledgement>("replicated", "witnessed");
  const owner = fc.constantFrom(...owners);
  const target = fc.constantFrom(...targets);
  const step = fc.oneof(
    { weight: 4, arbitrary: makeStep("wait", { ms: fc.constantFrom(1, 20, 300, 1500) }) },
    { weight: 6, arbitrary: makeStep("write", { vm: owner, mode }) },
    {
      weight: 6,
      arbitrary: makeStep("fault", {
        fault: drawFault(),
        forMs: fc.constantFrom(30, 500, 2000, 6000),
      }),
    },
    { weight: 1, arbitrary: makeStep("restart", { vm: owner }) },
    { weight: 1, arbitrary: makeStep("switch", { vm: owner, target }) },
  );
  return fc.array(step, { maxLength, size: "max" });
}

function drawFault(): fc.Arbitrary<Fault> {
  const target = fc.constantFrom(...targets);
  const vm = fc.constantFrom(...vms);
  const state = fc.constantFrom<HostState>("dead", "frozen");
  const fault = fc.constantFrom<LinkFault>("requestsLost", "answersLost", "cut", "silent");
  return fc.oneof(
    { weight: 3, arbitrary: makeStep("host", { target, state }) },
    { weight: 3, arbitrary: makeStep("link", { vm, target, fault }) },
    { weight: 1, arbitrary: makeStep("slow", { vm, target, ms: fc.constantFrom(60, 400) }) },
    { weight: 1, arbitrary: makeStep("lag", { target, ms: fc.constantFrom(10, 1000, 5000) }) },
    { weight: 2, arbitrary: makeStep("partition", { vm, target }) },
    { weight: 1, arbitrary: makeStep("pause", { vm: fc.constantFrom(...owners) }) },
    { weight: 1, arbitrary: makeStep("mute", { vm }) },
  );
}

function makeStep<T extends string, R extends object>(
  type: T,
  values: { [K in keyof R]: fc.Arbitrary<R[K]> },
): fc.Arbitrary<{ readonly type: T } & R> {
  return fc.record(values).map((drawn) => ({ type, ...(drawn as R) }));
}

/** What came of a run of steps. */
export interface StepsReport {
  readonly violations: readonly string[];
  readonly acknowledged: number;
  readonly promotions: number;
  /** Whether writes through each owner were acknowledged again after all faults had ended. */
  readonly isHealed: boolean;
}

/** Runs steps on a fresh fleet of two owners, waits until all faults are over and tells what came of it. */
export async function runSteps(
  seed: number,
  steps: readonly FaultStep[],
  safeguards?: WatchSafeguards,
): Promise<StepsReport> {
  const clock = new VirtualClock();
  const fleet = new FakeFleet({ clock, seed, ...(safeguards === undefined ? {} : { safeguards }) });
  for (const name of owners) fleet.watch(name);
  await clock.advance(1000);
  for (const [i, step] of steps.entries()) await applyStep(fleet, clock, step, `w${i}`);
  await clock.advance(healedMs);
  const last = owners.map((name) => fleet.write(name, `last-${name}`, "replicated", writeMs));
  await clock.advance(2 * writeMs);
  const outcomes = await Promise.all(last);
  for (const target of targets) fleet.checkKept(target);
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
    case "restart":
      await fleet.stop(step.vm);
      fleet.watch(step.vm);
      return;
    case "switch":
      fleet.watch(step.vm).requestSwitchover(step.target);
      return;
    case "fault":
      setFault(fleet, step.fault, true);
      void clock.sleep(step.forMs).then(() => setFault(fleet, step.fault, false));
      return;
  }
}

function setFault(fleet: FakeFleet, fault: Fault, isOn: boolean): void {
  const { group } = fleet;
  switch (fault.type) {
    case "host":
      group.setState(fault.target, isOn ? fault.state : "up");
      return;
    case "link":
      group.setFault(fault.vm, fault.target, isOn ? fault.fault : "none");
      return;
    case "slow":
      group.setSlow(fault.vm, fault.target, isOn ? fault.ms : 0);
      return;
    case "lag":
      group.get(fault.target).lagMs = isOn ? fault.ms : 0;
      return;
    case "partition":
      fleet.setPartition(fault.vm, fault.target, isOn);
      return;
    case "pause":
      if (isOn) fleet.vm(fault.vm).pause();
      else fleet.vm(fault.vm).resume();
      return;
    case "mute":
      if (isOn) fleet.mute.add(fault.vm);
      else fleet.mute.delete(fault.vm);
      return;
  }
}
