import { changeMember, type Transition } from "./member.js";
import type { MembershipOptions } from "./options.js";
import { buildProbeOrder } from "./probeorder.js";
import type { Member, MembershipState } from "./state.js";

/** Declares VMs down whose suspicion timed out, and begins one probe. */
export function applyTick(
  transition: Transition,
  now: number,
  options: MembershipOptions,
): Transition {
  return beginProbe(expireSuspicions(transition, now, options), options);
}

/**
 * Declares suspects down after the suspicion timeout. A VM that is itself cut off gets no answers
 * and would declare all others down, one after the other. So it declares a VM down only if it heard
 * from any VM after the suspicion began. Until then it keeps its members and reports that it is
 * isolated.
 */
function expireSuspicions(
  transition: Transition,
  now: number,
  { suspicionTimeoutMs }: MembershipOptions,
): Transition {
  const due = [...transition.state.members.values()].filter(
    ({ status, statusSince }) => status === "suspect" && now - statusSince >= suspicionTimeoutMs,
  );
  const confirmed = due.filter(({ statusSince }) => transition.state.lastContactAt > statusSince);
  const ended = confirmed.reduce((next, m) => changeMember(next, m, "down", now), transition);
  const isIsolated = due.length > 0 && confirmed.length === 0 && !hasAlive(transition.state);
  if (!isIsolated || transition.state.isIsolated) return ended;
  return {
    state: { ...ended.state, isIsolated: true },
    effects: [...ended.effects, { type: "isolated" }],
  };
}

function hasAlive(state: MembershipState): boolean {
  return [...state.members.values()].some(({ status }) => status === "alive");
}

function beginProbe(transition: Transition, options: MembershipOptions): Transition {
  const state = { ...transition.state, ticks: transition.state.ticks + 1 };
  const down =
    state.ticks % options.downProbeTicks === 0 ? pickDownMember(state, options) : undefined;
  if (down !== undefined) return addProbe(transition, state, down);
  const next =
    state.nextProbeIndex < state.probeOrder.length
      ? state
      : { ...state, probeOrder: buildProbeOrder(state), nextProbeIndex: 0 };
  const member = next.members.get(next.probeOrder[next.nextProbeIndex] ?? "");
  const moved = { ...next, nextProbeIndex: next.nextProbeIndex + 1 };
  return member === undefined
    ? { ...transition, state: moved }
    : addProbe(transition, moved, member);
}

function addProbe({ effects }: Transition, state: MembershipState, { vm }: Member): Transition {
  return { state, effects: [...effects, { type: "probe", vm, epoch: state.epoch }] };
}

/** Picks the next VM that is down, in rotation; `undefined` when none is. */
function pickDownMember(
  state: MembershipState,
  { downProbeTicks }: MembershipOptions,
): Member | undefined {
  const down = [...state.members.values()].filter(({ status }) => status === "down");
  return down[Math.floor(state.ticks / downProbeTicks) % Math.max(1, down.length)];
}
