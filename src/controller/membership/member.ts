import type { Vm, GossipItem } from "../../model/index.js";
import { compareIncarnations } from "./incarnation.js";
import { queueNews } from "./news.js";
import type { Member, MembershipEffect, MembershipState, MemberStatus } from "./state.js";

/** A state on its way through one step, with the effects so far. */
export interface Draft {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

const rank: Readonly<Record<MemberStatus, number>> = { alive: 0, suspect: 1, leaving: 2, down: 3 };

/** Takes news of another VM over when it is newer than what is known. */
export function applyNews(draft: Draft, news: GossipItem, now: number): Draft {
  const { vm, incarnation, state: status } = news;
  const known = draft.state.members.get(vm.name);
  if (known === undefined) {
    // A VM that others took for down need not be learnt of.
    if (status === "down") return draft;
    return setMember(draft, { vm, incarnation, status, since: now });
  }
  const order = compareIncarnations(incarnation, known.incarnation);
  const isNewer = order > 0 || (order === 0 && rank[status] > rank[known.status]);
  return isNewer ? changeMember(draft, { ...known, vm, incarnation }, status, now) : draft;
}

/** Gives a member another status and tells others. */
export function changeMember(
  draft: Draft,
  member: Member,
  status: MemberStatus,
  now: number,
): Draft {
  const before = draft.state.members.get(member.vm.name);
  const since = before?.status === status ? before.since : now;
  return setMember(draft, { ...member, status, since });
}

/** Forgets a VM. */
export function removeMember(draft: Draft, { vm }: Member): Draft {
  const members = new Map(draft.state.members);
  members.delete(vm.name);
  return {
    state: { ...draft.state, members },
    effects: [...draft.effects, { type: "changed", vm, status: "removed" }],
  };
}

function setMember(draft: Draft, member: Member): Draft {
  const { state, effects } = draft;
  const name = member.vm.name;
  const before = state.members.get(name);
  const members = new Map(state.members).set(name, member);
  const next = queueNews({ ...state, members }, member);
  if (before?.status === member.status && isSamePlace(before.vm, member.vm)) {
    return { state: next, effects };
  }
  return {
    state: next,
    effects: [...effects, { type: "changed", vm: member.vm, status: member.status }],
  };
}

function isSamePlace(a: Vm, b: Vm): boolean {
  return a.peer.host === b.peer.host && a.peer.port === b.peer.port;
}
