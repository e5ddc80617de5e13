import type { Vm } from "../../model/index.js";
import { changeMember, removeMember, type Transition } from "./member.js";
import type { Member, MembershipState } from "./state.js";
import type { MembershipOptions } from "./options.js";

/**
 * Applies the platform's list of VMs. The list lags, so it adds VMs but removes none that is
 * believed live. A VM is marked as leaving only when its listed state changes to that. Otherwise a
 * VM that was replaced under the same name would count as leaving until the list catches up.
 */
export function applyList(
  transition: Transition,
  vms: readonly Vm[],
  now: number,
  options: MembershipOptions,
): Transition {
  const listed = new Map(vms.map((vm) => [vm.name, vm]));
  listed.delete(transition.state.self.vm.name);
  const added = addListed(transition, [...listed.values()], now);
  const marked = [...listed.values()]
    .filter((vm) => vm.state === "leaving")
    .reduce((next, vm) => markLeaving(next, vm, now), added);
  return removeUnlisted(recordListing(marked, listed), now, options);
}

/** Adds all new VMs in one copy of the map: the first list can contain thousands. */
function addListed({ state, effects }: Transition, vms: readonly Vm[], now: number): Transition {
  const added = vms.filter(({ name }) => !state.members.has(name));
  const members = new Map(state.members);
  for (const vm of added) {
    members.set(vm.name, { vm, status: "alive", incarnation: "", statusSince: now });
  }
  const changes = added.map((vm) => ({ type: "changed" as const, vm, status: "alive" as const }));
  return { state: { ...state, members }, effects: [...effects, ...changes] };
}

function markLeaving(transition: Transition, vm: Vm, now: number): Transition {
  const member = transition.state.members.get(vm.name);
  if (member === undefined || member.listedState === "leaving" || member.status === "down")
    return transition;
  return changeMember(transition, member, "leaving", now);
}

function recordListing(
  { state, effects }: Transition,
  listed: ReadonlyMap<string, Vm>,
): Transition {
  const members = new Map(
    [...state.members].map(([name, member]) => [name, setListed(member, listed.get(name)?.state)]),
  );
  return { state: { ...state, members }, effects };
}

function setListed(member: Member, listedState: Vm["state"] | undefined): Member {
  if (member.listedState === listedState) return member;
  const { vm, status, incarnation, statusSince } = member;
  const rest = { vm, status, incarnation, statusSince };
  return listedState === undefined ? rest : { ...rest, listedState };
}

function removeUnlisted(
  transition: Transition,
  now: number,
  { forgetDownAfterMs }: MembershipOptions,
): Transition {
  return listExpired(transition.state, now, forgetDownAfterMs).reduce(removeMember, transition);
}

function listExpired(
  state: MembershipState,
  now: number,
  forgetDownAfterMs: number,
): readonly Member[] {
  return [...state.members.values()].filter(
    ({ status, listedState, statusSince }) =>
      status === "down" && listedState === undefined && now - statusSince >= forgetDownAfterMs,
  );
}
