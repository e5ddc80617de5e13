import type { GossipItem } from "../../model/index.js";
import type { Member, MembershipState, QueuedNews } from "./state.js";

const spread = 3;

/** What the next message carries: this VM itself, then the news that went out least. */
export function collectNews(state: MembershipState, limit: number): readonly GossipItem[] {
  const queued = [...state.news.values()].sort((a, b) => b.left - a.left).slice(0, limit);
  return [describeSelf(state), ...queued.map(({ news }) => news)];
}

/**
 * What a VM is told of itself: that it is suspected, or taken for down. It then refutes with a
 * greater incarnation; without that, old news of its end would go round and mark it again and again.
 */
export function listNewsAbout(state: MembershipState, name: string): readonly GossipItem[] {
  const member = state.members.get(name);
  const isHeldAgainst = member?.status === "suspect" || member?.status === "down";
  return isHeldAgainst ? [describeMember(member)] : [];
}

/** Everything that this VM knows, for one that has just started. */
export function listAllNews(state: MembershipState): readonly GossipItem[] {
  return [...state.members.values()].map(describeMember);
}

/** Counts down the news that a message carried. */
export function markSent(state: MembershipState, sent: readonly GossipItem[]): MembershipState {
  if (state.news.size === 0) return state;
  const news = new Map(state.news);
  for (const { vm } of sent) {
    const queued = news.get(vm.name);
    if (queued === undefined) continue;
    if (queued.left <= 1) news.delete(vm.name);
    else news.set(vm.name, { ...queued, left: queued.left - 1 });
  }
  return { ...state, news };
}

/** Queues a change for about as many messages as reach all VMs with high probability. */
export function queueNews(state: MembershipState, member: Member): MembershipState {
  const left = spread * Math.ceil(Math.log2(state.members.size + 2));
  const queued: QueuedNews = { news: describeMember(member), left };
  return { ...state, news: new Map(state.news).set(member.vm.name, queued) };
}

function describeMember({ vm, incarnation, status }: Member): GossipItem {
  return { vm, incarnation, state: status };
}

function describeSelf({ self }: MembershipState): GossipItem {
  const state = self.state === "leaving" ? "leaving" : "alive";
  return { vm: self.vm, incarnation: self.incarnation, state };
}
