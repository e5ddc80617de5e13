import type { Vm } from "../../model/index.js";
import { changeMember, removeMember, type Draft } from "./member.js";
import type { Member, MembershipState } from "./state.js";
import type { MembershipOptions } from "./options.js";

/**
 * Takes the platform's list over. It lags, so it only adds VMs, and marks one as leaving when its
 * word on it has changed: a VM replaced under the same name would else be taken for leaving until
 * the list catches up. Nobody is dropped for being missing from it.
 */
export function applyList(
  draft: Draft,
  vms: readonly Vm[],
  now: number,
  options: MembershipOptions,
): Draft {
  const listed = new Map(vms.map((vm) => [vm.name, vm]));
  listed.delete(draft.state.self.vm.name);
  const added = addListed(draft, [...listed.values()], now);
  const marked = [...listed.values()]
    .filter((vm) => vm.state === "leaving")
    .reduce((next, vm) => markLeaving(next, vm, now), added);
  return forgetUnlisted(noteListing(marked, listed), now, options);
}

/** Adds many at once: at a start the list brings thousands. */
function addListed({ state, effects }: Draft, vms: readonly Vm[], now: number): Draft {
  const fresh = vms.filter(({ name }) => !state.members.has(name));
  const members = new Map(state.members);
  for (const vm of fresh) {
    members.set(vm.name, { vm, status: "alive", incarnation: "", since: now });
  }
  const changes = fresh.map((vm) => ({ type: "changed" as const, vm, status: "alive" as const }));
  return { state: { ...state, members }, effects: [...effects, ...changes] };
}

function markLeaving(draft: Draft, vm: Vm, now: number): Draft {
  const member = draft.state.members.get(vm.name);
  if (member === undefined || member.listed === "leaving" || member.status === "down") return draft;
  return changeMember(draft, member, "leaving", now);
}

function noteListing({ state, effects }: Draft, listed: ReadonlyMap<string, Vm>): Draft {
  const members = new Map(
    [...state.members].map(([name, member]) => [name, setListed(member, listed.get(name)?.state)]),
  );
  return { state: { ...state, members }, effects };
}

function setListed(member: Member, listed: Vm["state"] | undefined): Member {
  if (member.listed === listed) return member;
  const { vm, status, incarnation, since } = member;
  const rest = { vm, status, incarnation, since };
  return listed === undefined ? rest : { ...rest, listed };
}

function forgetUnlisted(draft: Draft, now: number, { forgetMs }: MembershipOptions): Draft {
  return listGone(draft.state, now, forgetMs).reduce(removeMember, draft);
}

function listGone(state: MembershipState, now: number, forgetMs: number): readonly Member[] {
  return [...state.members.values()].filter(
    ({ status, listed, since }) =>
      status === "down" && listed === undefined && now - since >= forgetMs,
  );
}
