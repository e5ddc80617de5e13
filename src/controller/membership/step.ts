import { succeed, type StepResult, type PeerHello } from "../../model/index.js";
import { compareIncarnations, refuteIncarnation } from "./incarnation.js";
import { applyList } from "./list.js";
import { applyNews, changeMember, type Draft } from "./member.js";
import { membershipOptions, type MembershipOptions } from "./options.js";
import type { MembershipEffect, MembershipEvent, MembershipState } from "./state.js";
import { applyTick } from "./tick.js";
import { findHelpers } from "./view.js";

/** Applies one event. */
export function applyMembershipEvent(
  state: MembershipState,
  event: MembershipEvent,
  options: MembershipOptions = membershipOptions,
): StepResult<MembershipState, MembershipEffect, never> {
  const draft = applyEvent(notePause(state, event.now, options), event, options);
  return succeed(draft.state, draft.effects);
}

/**
 * After SIGSTOP, a frozen VM or a long collection, every timer of this process fires at once, before
 * any answer that waits in its sockets is read: all the others would look silent, and it would take
 * over what they own. Results of probes begun before the gap are dropped and suspicions start anew.
 */
function notePause(state: MembershipState, now: number, { pauseMs }: MembershipOptions): Draft {
  const forMs = now - state.lastEventAt;
  if (forMs <= pauseMs) return { state: { ...state, lastEventAt: now }, effects: [] };
  const members = new Map(
    [...state.members].map(([name, member]) => [
      name,
      member.status === "suspect" ? { ...member, since: now } : member,
    ]),
  );
  return {
    state: { ...state, members, epoch: state.epoch + 1, lastEventAt: now, lastContactAt: now },
    effects: [{ type: "paused", forMs }],
  };
}

function applyEvent(draft: Draft, event: MembershipEvent, options: MembershipOptions): Draft {
  const { state } = draft;
  switch (event.type) {
    case "tick":
      return applyTick(draft, event.now, options);
    case "listed":
      return applyList(draft, event.vms, event.now, options);
    case "heard":
      return applyHello(draft, event.hello, event.now);
    case "silent":
      return applySilence(draft, event, options);
    case "doubted": {
      const member = state.members.get(event.vm);
      if (member === undefined || member.status === "down") return draft;
      return addEffect(draft, { type: "probe", vm: member.vm, epoch: state.epoch });
    }
    case "selfChanged":
      return { ...draft, state: { ...state, self: { ...state.self, state: event.state } } };
  }
}

function applyHello(draft: Draft, hello: PeerHello, now: number): Draft {
  const state = { ...draft.state, lastContactAt: now, isIsolated: false };
  const known = applySender({ ...draft, state }, hello, now);
  return (hello.news ?? []).reduce((next, news) => {
    if (news.vm.name === state.self.vm.name) return refute(next, news.incarnation, news.state);
    return news.vm.name === hello.vm ? next : applyNews(next, news, now);
  }, known);
}

/** What a VM says of itself goes before what others say of the same incarnation. */
function applySender(draft: Draft, hello: PeerHello, now: number): Draft {
  if (hello.vm === draft.state.self.vm.name) return draft;
  const status = hello.state === "leaving" ? "leaving" : "alive";
  const own = hello.news?.find((news) => news.vm.name === hello.vm)?.vm;
  const known = draft.state.members.get(hello.vm);
  if (known === undefined) {
    if (own === undefined) return draft;
    const news = { vm: own, incarnation: hello.incarnation, state: status } as const;
    return applyNews(draft, news, now);
  }
  if (compareIncarnations(hello.incarnation, known.incarnation) < 0) return draft;
  const isSame = known.status === status && known.incarnation === hello.incarnation;
  if (isSame) return draft;
  // Leaving is final for a run; the platform's word of it holds for the run that it was about.
  const isSameRun = compareIncarnations(hello.incarnation, known.incarnation) === 0;
  if (known.status === "leaving" && isSameRun) return draft;
  const member = { ...known, vm: own ?? known.vm, incarnation: hello.incarnation };
  return changeMember(draft, member, status, now);
}

/** Others suspect this VM, or took it for down: a greater incarnation says that it lives. */
function refute(draft: Draft, incarnation: string, said: string): Draft {
  const { self } = draft.state;
  const isAgainst = said === "suspect" || said === "down";
  if (!isAgainst || compareIncarnations(incarnation, self.incarnation) < 0) return draft;
  const next = { ...self, incarnation: refuteIncarnation(incarnation) };
  return addEffect({ ...draft, state: { ...draft.state, self: next } }, { type: "refuted" });
}

function applySilence(
  draft: Draft,
  event: Extract<MembershipEvent, { type: "silent" }>,
  options: MembershipOptions,
): Draft {
  const { state } = draft;
  const member = state.members.get(event.vm);
  if (member === undefined || event.epoch !== state.epoch || member.status === "down") return draft;
  const via = event.indirect ? [] : findHelpers(state, options.helpers, event.vm);
  if (via.length > 0) {
    return addEffect(draft, { type: "probeThrough", vm: member.vm, via, epoch: state.epoch });
  }
  if (member.status === "suspect") return draft;
  // A leaving VM that falls silent has left: nothing is owed to it.
  const status = member.status === "leaving" ? "down" : "suspect";
  return changeMember(draft, member, status, event.now);
}

function addEffect(draft: Draft, effect: MembershipEffect): Draft {
  return { ...draft, effects: [...draft.effects, effect] };
}
