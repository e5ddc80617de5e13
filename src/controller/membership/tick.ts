import { changeMember, type Draft } from "./member.js";
import type { MembershipOptions } from "./options.js";
import { buildRing } from "./ring.js";
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

function beginProbe(draft: Draft, options: MembershipOptions): Draft {
  const state = { ...draft.state, ticks: draft.state.ticks + 1 };
  const down = state.ticks % options.downEvery === 0 ? pickDown(state, options) : undefined;
  if (down !== undefined) return addProbe(draft, state, down);
  const next = state.at < state.ring.length ? state : { ...state, ring: buildRing(state), at: 0 };
  const member = next.members.get(next.ring[next.at] ?? "");
  const moved = { ...next, at: next.at + 1 };
  return member === undefined ? { ...draft, state: moved } : addProbe(draft, moved, member);
}

function addProbe({ effects }: Draft, state: MembershipState, { vm }: Member): Draft {
  return { state, effects: [...effects, { type: "probe", vm, epoch: state.epoch }] };
}

/** Those that are down take turns. */
function pickDown(state: MembershipState, { downEvery }: MembershipOptions): Member | undefined {
  const down = [...state.members.values()].filter(({ status }) => status === "down");
  return down[Math.floor(state.ticks / downEvery) % Math.max(1, down.length)];
}
