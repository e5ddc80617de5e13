import { succeed, type StepResult, type PeerHello } from "../../model/index.js";
import { compareIncarnations, refuteIncarnation } from "./incarnation.js";
import { applyList } from "./list.js";
import { applyNews, changeMember, type Transition } from "./member.js";
import { defaultMembershipOptions, type MembershipOptions } from "./options.js";
import type { MembershipEffect, MembershipEvent, MembershipState } from "./state.js";
import { applyTick } from "./tick.js";
import { findProbeHelpers } from "./view.js";

/** Applies one event, after checking whether this process was paused before it. */
export function applyMembershipEvent(
  state: MembershipState,
  event: MembershipEvent,
  options: MembershipOptions = defaultMembershipOptions,
): StepResult<MembershipState, MembershipEffect, never> {
  const transition = applyEvent(detectPause(state, event.now, options), event, options);
  return succeed(transition.state, transition.effects);
}

/**
 * Detects that this process was paused, as by SIGSTOP, a frozen VM or a long garbage collection.
 * After a pause, all overdue timers fire before any answer that waits in the sockets is read, so
 * every peer would look silent and this VM would take over what the others own. Therefore results
 * of probes that began before the pause are ignored and the time of each suspicion starts again.
 */
function detectPause(
  state: MembershipState,
  now: number,
  { maxEventGapMs }: MembershipOptions,
): Transition {
  const forMs = now - state.lastEventAt;
  if (forMs <= maxEventGapMs) return { state: { ...state, lastEventAt: now }, effects: [] };
  const members = new Map(
    [...state.members].map(([name, member]) => [
      name,
      member.status === "suspect" ? { ...member, statusSince: now } : member,
    ]),
  );
  return {
    state: { ...state, members, epoch: state.epoch + 1, lastEventAt: now, lastContactAt: now },
    effects: [{ type: "paused", forMs }],
  };
}

function applyEvent(
  transition: Transition,
  event: MembershipEvent,
  options: MembershipOptions,
): Transition {
  const { state } = transition;
  switch (event.type) {
    case "tick":
      return applyTick(transition, event.now, options);
    case "listed":
      return applyList(transition, event.vms, event.now, options);
    case "heard":
      return applyHello(transition, event.hello, event.now);
    case "silent":
      return applyProbeFailure(transition, event, options);
    case "doubted": {
      const member = state.members.get(event.vm);
      if (member === undefined || member.status === "down") return transition;
      return addEffect(transition, { type: "probe", vm: member.vm, epoch: state.epoch });
    }
    case "selfChanged":
      return { ...transition, state: { ...state, self: { ...state.self, state: event.state } } };
  }
}

function applyHello(transition: Transition, hello: PeerHello, now: number): Transition {
  const state = { ...transition.state, lastContactAt: now, isIsolated: false };
  const known = applySender({ ...transition, state }, hello, now);
  return (hello.news ?? []).reduce((next, news) => {
    if (news.vm.name === state.self.vm.name)
      return refuteSuspicion(next, news.incarnation, news.state);
    return news.vm.name === hello.vm ? next : applyNews(next, news, now);
  }, known);
}

/**
 * Applies what the sender says about itself, which overrides news from others on that incarnation.
 */
function applySender(transition: Transition, hello: PeerHello, now: number): Transition {
  if (hello.vm === transition.state.self.vm.name) return transition;
  const status = hello.state === "leaving" ? "leaving" : "alive";
  const announced = hello.news?.find((news) => news.vm.name === hello.vm)?.vm;
  const known = transition.state.members.get(hello.vm);
  if (known === undefined) {
    if (announced === undefined) return transition;
    const news = { vm: announced, incarnation: hello.incarnation, state: status } as const;
    return applyNews(transition, news, now);
  }
  if (compareIncarnations(hello.incarnation, known.incarnation) < 0) return transition;
  const isUnchanged = known.status === status && known.incarnation === hello.incarnation;
  if (isUnchanged) return transition;
  // Leaving is final for one run of a process, also when it was the platform that reported it.
  const isSameRun = compareIncarnations(hello.incarnation, known.incarnation) === 0;
  if (known.status === "leaving" && isSameRun) return transition;
  const member = { ...known, vm: announced ?? known.vm, incarnation: hello.incarnation };
  return changeMember(transition, member, status, now);
}

/** Refutes news that this VM is suspect or down by choosing a greater incarnation. */
function refuteSuspicion(
  transition: Transition,
  incarnation: string,
  claimedState: string,
): Transition {
  const { self } = transition.state;
  const isNegative = claimedState === "suspect" || claimedState === "down";
  if (!isNegative || compareIncarnations(incarnation, self.incarnation) < 0) return transition;
  const next = { ...self, incarnation: refuteIncarnation(incarnation) };
  return addEffect(
    { ...transition, state: { ...transition.state, self: next } },
    { type: "refuted" },
  );
}

function applyProbeFailure(
  transition: Transition,
  event: Extract<MembershipEvent, { type: "silent" }>,
  options: MembershipOptions,
): Transition {
  const { state } = transition;
  const member = state.members.get(event.vm);
  if (member === undefined || event.epoch !== state.epoch || member.status === "down")
    return transition;
  const via = event.isIndirect ? [] : findProbeHelpers(state, options.helperCount, event.vm);
  if (via.length > 0) {
    return addEffect(transition, { type: "probeThrough", vm: member.vm, via, epoch: state.epoch });
  }
  if (member.status === "suspect") return transition;
  // A leaving VM that stops answering has left, so it needs no time to refute a suspicion.
  const status = member.status === "leaving" ? "down" : "suspect";
  return changeMember(transition, member, status, event.now);
}

function addEffect(transition: Transition, effect: MembershipEffect): Transition {
  return { ...transition, effects: [...transition.effects, effect] };
}
