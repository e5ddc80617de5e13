import type { DirectPeerClient } from "../directpeer/index.js";
import {
  isConfirmedByPeers,
  type LeadershipAnswer,
  type LeadershipKeeper,
} from "../leadership/index.js";
import type { Clock } from "../model/index.js";
import type { ProxyRegistry } from "./proxy-registry.js";

/** Peers are asked once the store's last word is older than this, in milliseconds: one look has failed. */
const askPeersAfterMs = 500;
/** An answer of a peer: a round trip of 1 to 3 ms, on a busy peer some tens more. */
export const peerTimeoutMs = 250;

/** What confirming by peers needs. */
export interface PeerConfirmerPorts {
  readonly vm: string;
  readonly peers: Pick<DirectPeerClient, "share">;
  readonly tracker: LeadershipKeeper;
  readonly registry: ProxyRegistry;
  readonly clock: Pick<Clock, "now">;
}

/** Asks the other listed proxies who leads while the store does not say. */
export class PeerConfirmer {
  constructor(private readonly ports: PeerConfirmerPorts) {}

  /** Asks all at once, unless what is known was confirmed just now; gives what they answered. */
  async askPeers(): Promise<readonly LeadershipAnswer[]> {
    const { vm, tracker, clock, peers, registry } = this.ports;
    const askedAt = clock.now();
    const { confirmedAt } = tracker;
    if (confirmedAt !== undefined && askedAt - confirmedAt < askPeersAfterMs) return [];
    const others = registry.list().filter((proxy) => proxy.vm !== vm);
    const answers = (
      await Promise.all(others.map((proxy) => peers.share(proxy, tracker.word, peerTimeoutMs)))
    ).filter((answer) => answer !== undefined);
    for (const answer of answers) tracker.adopt(answer);
    if (registry.wasRegisteredBefore(askedAt)) this.applyAnswers(answers, askedAt);
    return answers;
  }

  /**
   * A peer that reaches the store passes its confirmation on, with its age. Where none does, the
   * store is away for all, nobody can begin a change, and a majority that knows of none confirms.
   */
  private applyAnswers(answers: readonly LeadershipAnswer[], askedAt: number): void {
    const { tracker, registry } = this.ports;
    const { version } = tracker.leadership;
    const listing = answers.filter((answer) => answer.listsAsker);
    for (const { confirmedAgoMs, storeAgoMs, leadership } of listing) {
      if (leadership.version < version) continue;
      if (storeAgoMs !== undefined) tracker.noteStoreAnswer(askedAt - storeAgoMs);
      if (confirmedAgoMs === undefined) continue;
      const at = askedAt - confirmedAgoMs;
      if (registry.wasRegisteredBefore(at)) tracker.confirm(at);
    }
    if (!registry.isListingComplete) return;
    const words = listing.map((answer) => ({ version: answer.leadership.version }));
    const storeAskedAt = tracker.storeAnswerAskedAt;
    if (isConfirmedByPeers(version, words, registry.list().length, storeAskedAt, askedAt)) {
      tracker.confirm(askedAt);
    }
  }
}
