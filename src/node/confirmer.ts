import type { DirectPeerClient } from "../directpeer/index.js";
import {
  isConfirmedByPeers,
  type LeadershipAnswer,
  type LeadershipTracker,
} from "../leadership/index.js";
import type { Clock } from "../model/index.js";
import type { Members } from "./members.js";

/** Peers are asked once the store's last word is older than this, in milliseconds: one look has failed. */
const askPeersAfterMs = 500;
/** An answer of a peer: a round trip of 1 to 3 ms, on a busy peer some tens more. */
export const peerTimeoutMs = 250;

/** What confirming by peers needs. */
export interface PeerConfirmerPorts {
  readonly vm: string;
  readonly peers: Pick<DirectPeerClient, "share">;
  readonly keeper: LeadershipTracker;
  readonly members: Members;
  readonly clock: Pick<Clock, "now">;
}

/** Asks the other listed proxies who leads while the store does not say. */
export class PeerConfirmer {
  constructor(private readonly ports: PeerConfirmerPorts) {}

  /** Asks all at once, unless what is known was confirmed just now; gives what they answered. */
  async ask(): Promise<readonly LeadershipAnswer[]> {
    const { vm, keeper, clock, peers, members } = this.ports;
    const askedAt = clock.now();
    const { confirmedAt } = keeper;
    if (confirmedAt !== undefined && askedAt - confirmedAt < askPeersAfterMs) return [];
    const others = members.list().filter((proxy) => proxy.vm !== vm);
    const answers = (
      await Promise.all(
        others.map((proxy) => peers.share(proxy, keeper.latestUpdate, peerTimeoutMs)),
      )
    ).filter((answer) => answer !== undefined);
    for (const answer of answers) keeper.adopt(answer);
    if (members.isMemberBefore(askedAt)) this.confirmBy(answers, askedAt);
    return answers;
  }

  /**
   * A peer that reaches the store passes its confirmation on, with its age. Where none does, the
   * store is away for all, nobody can begin a change, and a majority that knows of none confirms.
   */
  private confirmBy(answers: readonly LeadershipAnswer[], askedAt: number): void {
    const { keeper, members } = this.ports;
    const { version } = keeper.leadership;
    const listing = answers.filter((answer) => answer.listsAsker);
    for (const { confirmedAgoMs, storeAgoMs, leadership } of listing) {
      if (leadership.version < version) continue;
      if (storeAgoMs !== undefined) keeper.noteStoreAnswer(askedAt - storeAgoMs);
      if (confirmedAgoMs === undefined) continue;
      const at = askedAt - confirmedAgoMs;
      if (members.isMemberBefore(at)) keeper.confirm(at);
    }
    if (!members.isWhole) return;
    const words = listing.map((answer) => ({ version: answer.leadership.version }));
    const storeAskedAt = keeper.lastAnsweredStoreQueryAt;
    if (isConfirmedByPeers(version, words, members.list().length, storeAskedAt, askedAt)) {
      keeper.confirm(askedAt);
    }
  }
}
