import { hashPair } from "../../policy/index.js";
import { changeMember, type Draft } from "./member.js";
import type { MembershipOptions } from "./options.js";
import type { Member, MembershipState } from "./state.js";

/** Begins one probe and takes VMs for down whose time to refute is over. */
export function applyTick(draft: Draft, now: number, options: MembershipOptions): Draft {
  return beginProbe(endSuspicions(draft, now, options), options);
}

/**
 * A VM that is cut off itself hears nobody and would declare all others down, one after the other.
 * It declares nobody down unless some other VM was heard from after the suspicion began; until then
 * it keeps its last list and says that it is isolated.
 */
function endSuspicions(draft: Draft, now: number, { suspicionMs }: MembershipOptions): Draft {
  const due = [...draft.state.members.values()].filter(
    ({ status, since }) => status === "suspect" && now - since >= suspicionMs,
  );
  const proven = due.filter(({ since }) => draft.state.lastContactAt > since);
  const ended = proven.reduce((next, m) => changeMember(next, m, "down", now), draft);
  const isIsolated = due.length > 0 && proven.length === 0 && !hasAlive(draft.state);
  if (!isIsolated || draft.state.isIsolated) return ended;
  return {
    state: { ...ended.state, isIsolated: true },
    effects: [...ended.effects, { type: "isolated" }],
  };
}

function hasAlive(state: MembershipState): boolean {
  return [...state.members.values()].some(({ status }) => status === "alive");
}

function beginProbe(draft: Draft, { downEvery }: MembershipOptions): Draft {
  const state = { ...draft.state, ticks: draft.state.ticks + 1 };
  const wantsDown = state.ticks % downEvery === 0;
  const picked = (wantsDown ? pick(state, (m) => m.status === "down") : undefined) ??
    pick(state, (m) => m.status !== "down") ?? { member: undefined, state };
  if (picked.member === undefined) return { ...draft, state: picked.state };
  const { vm } = picked.member;
  return {
    state: picked.state,
    effects: [...draft.effects, { type: "probe", vm, epoch: state.epoch }],
  };
}

/** Picks the next in the ring that fits; a finished round is shuffled, so that no two VMs march in step. */
function pick(
  state: MembershipState,
  fits: (member: Member) => boolean,
): { readonly member: Member; readonly state: MembershipState } | undefined {
  const { ring, members } = state;
  for (let i = 0; i < ring.length; i++) {
    const at = (state.at + i) % ring.length;
    const member = members.get(ring[at] ?? "");
    if (member === undefined || !fits(member)) continue;
    const isRoundOver = at + 1 >= ring.length;
    return {
      member,
      state: isRoundOver ? { ...state, ring: shuffle(state), at: 0 } : { ...state, at: at + 1 },
    };
  }
  return undefined;
}

function shuffle({ ring, self, ticks }: MembershipState): readonly string[] {
  return ring
    .map((name) => ({ name, hash: hashPair(`${self.vm.name}/${ticks}`, name) }))
    .sort((a, b) => a.hash - b.hash)
    .map(({ name }) => name);
}
