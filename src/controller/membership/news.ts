import type { GossipItem } from "../../model/index.js";
import type { Member, MembershipState, QueuedNews } from "./state.js";

/** Messages that carry a piece of news, for each doubling of the number of VMs. */
const sendsPerDoubling = 3;

/** Collects the news for the next message: this VM itself, then up to `limit` of the least sent. */
export function collectNews(state: MembershipState, limit: number): readonly GossipItem[] {
  const queued = [...state.news.values()].sort((a, b) => b.sendsLeft - a.sendsLeft).slice(0, limit);
  return [describeSelf(state), ...queued.map(({ news }) => news)];
}

/**
 * Lists the news that tells a VM that it counts as suspect or down, so that it refutes this with a
 * greater incarnation. Otherwise old news that it is down would keep circulating and mark it as
 * down repeatedly.
 */
export function listNewsAbout(state: MembershipState, name: string): readonly GossipItem[] {
  const member = state.members.get(name);
  const isSuspectedOrDown = member?.status === "suspect" || member?.status === "down";
  return isSuspectedOrDown ? [describeMember(member)] : [];
}

/** Lists the news about every other VM, for a VM that has just started. */
export function listAllNews(state: MembershipState): readonly GossipItem[] {
  return [...state.members.values()].map(describeMember);
}

/**
 * Decrements the remaining sends of the news in a message, and drops what was sent often enough.
 */
export function markSent(state: MembershipState, sent: readonly GossipItem[]): MembershipState {
  if (state.news.size === 0) return state;
  const news = new Map(state.news);
  for (const { vm } of sent) {
    const queued = news.get(vm.name);
    if (queued === undefined) continue;
    if (queued.sendsLeft <= 1) news.delete(vm.name);
    else news.set(vm.name, { ...queued, sendsLeft: queued.sendsLeft - 1 });
  }
  return { ...state, news };
}

/**
 * Queues news for a number of messages, logarithmic in the fleet, that reaches all VMs very likely.
 */
export function queueNews(state: MembershipState, member: Member): MembershipState {
  const sendsLeft = sendsPerDoubling * Math.ceil(Math.log2(state.members.size + 2));
  const queued: QueuedNews = { news: describeMember(member), sendsLeft };
  return { ...state, news: new Map(state.news).set(member.vm.name, queued) };
}

function describeMember({ vm, incarnation, status }: Member): GossipItem {
  return { vm, incarnation, state: status };
}

function describeSelf({ self }: MembershipState): GossipItem {
  const state = self.state === "leaving" ? "leaving" : "alive";
  return { vm: self.vm, incarnation: self.incarnation, state };
}
