import type { Vm } from "../../model/index.js";
import type { MembershipState, MemberStatus } from "./state.js";

/** A VM with its status as seen from this one. */
export interface MemberView {
  readonly vm: Vm;
  readonly status: MemberStatus;
}

/** Lists every known VM, this one first. */
export function listMembers({ self, members }: MembershipState): readonly MemberView[] {
  const status: MemberStatus = self.state === "leaving" ? "leaving" : "alive";
  return [
    { vm: self.vm, status },
    ...[...members.values()].map((member) => ({ vm: member.vm, status: member.status })),
  ];
}

/**
 * Lists the VMs that may get new work. Suspects are included, since they are not confirmed to be
 * down. Every VM is returned with the state `live`: the platform's list may still describe an
 * earlier run.
 */
export function listLive(state: MembershipState): readonly Vm[] {
  return listMembers(state)
    .filter(({ status }) => status === "alive" || status === "suspect")
    .map(({ vm }) => (vm.state === "live" ? vm : { ...vm, state: "live" }));
}

/**
 * Finds up to `count` live VMs that can probe `about` indirectly. VMs in other data centres come
 * first, since a different network path gives more information.
 */
export function findProbeHelpers(
  state: MembershipState,
  count: number,
  about?: string,
): readonly Vm[] {
  const alive = [...state.members.values()]
    .filter(({ vm, status }) => status === "alive" && vm.name !== about)
    .map(({ vm }) => vm);
  const firstIndex = alive.length === 0 ? 0 : state.ticks % alive.length;
  const rotated = [...alive.slice(firstIndex), ...alive.slice(0, firstIndex)];
  const ownDataCentre = state.self.vm.dataCentre;
  const others = rotated.filter((vm) => vm.dataCentre !== ownDataCentre);
  return [...others, ...rotated.filter((vm) => vm.dataCentre === ownDataCentre)].slice(0, count);
}
