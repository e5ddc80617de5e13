import type { Vm, GossipItem } from "../../model/index.js";
import { compareIncarnations } from "./incarnation.js";
import { queueNews } from "./news.js";
import type { Member, MembershipEffect, MembershipState, MemberStatus } from "./state.js";

/** An intermediate state within one step, with the effects collected so far. */
export interface Transition {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

/** Of two statuses for one incarnation, the one with the greater number wins. */
const statusPrecedence: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  down: 3,
};

/** Applies news about another VM if it is newer than what is known. */
export function applyNews(transition: Transition, news: GossipItem, now: number): Transition {
  const { vm, incarnation, state: status } = news;
  const known = transition.state.members.get(vm.name);
  if (known === undefined) {
    // An unknown VM that is down need not be added.
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

/** Changes a member's status and queues the news for other VMs. */
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

/** Removes a VM from the members. */
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
