import type { Vm, VmNews } from "../../model/index.js";
import { compareIncarnations } from "./incarnation.js";
import { queueNews } from "./news.js";
import type { Member, MembershipEffect, MembershipState, MemberStatus } from "./state.js";

/** A state on its way through one step, with the effects so far. */
export interface Transition {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

const statusPrecedence: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  down: 3,
};

/** Takes news of another VM over when it is newer than what is known. */
export function applyNews(transition: Transition, news: VmNews, now: number): Transition {
  const { vm, incarnation, state: status } = news;
  const known = transition.state.members.get(vm.name);
  if (known === undefined) {
    // A VM that others took for down need not be learnt of.
    if (status === "down") return transition;
    return setMember(transition, { vm, incarnation, status, statusSince: now });
  }
  const order = compareIncarnations(incarnation, known.incarnation);
  const isNewer =
    order > 0 || (order === 0 && statusPrecedence[status] > statusPrecedence[known.status]);
  return isNewer
    ? changeMember(transition, { ...known, vm, incarnation }, status, now)
    : transition;
}

/** Gives a member another status and tells others. */
export function changeMember(
  transition: Transition,
  member: Member,
  status: MemberStatus,
  now: number,
): Transition {
  const before = transition.state.members.get(member.vm.name);
  const statusSince = before?.status === status ? before.statusSince : now;
  return setMember(transition, { ...member, status, statusSince });
}

/** Forgets a VM. */
export function removeMember(transition: Transition, { vm }: Member): Transition {
  const members = new Map(transition.state.members);
  members.delete(vm.name);
  return {
    state: { ...transition.state, members },
    effects: [...transition.effects, { type: "changed", vm, status: "removed" }],
  };
}

function setMember(transition: Transition, member: Member): Transition {
  const { state, effects } = transition;
  const name = member.vm.name;
  const before = state.members.get(name);
  const members = new Map(state.members).set(name, member);
  const next = queueNews({ ...state, members }, member);
  if (before?.status === member.status && hasSameAddress(before.vm, member.vm)) {
    return { state: next, effects };
  }
  return {
    state: next,
    effects: [...effects, { type: "changed", vm: member.vm, status: member.status }],
  };
}

function hasSameAddress(a: Vm, b: Vm): boolean {
  return a.peer.host === b.peer.host && a.peer.port === b.peer.port;
}
