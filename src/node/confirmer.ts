import type { DirectPeerClient } from "../directpeer/index.js";
import {
  isConfirmedByPeers,
  type LeadershipAnswer,
  type LeadershipTracker,
} from "../leadership/index.js";
import type { Clock } from "../model/index.js";
import type { ProxyRegistry } from "./proxy-registry.js";

/** Peers are asked once the last confirmation is older than this, in milliseconds: one poll has failed. */
const askPeersAfterMs = 500;
/** Timeout of a request to a peer: a round trip takes 1 to 3 ms, on a busy peer some tens more. */
export const peerTimeoutMs = 250;

/** The dependencies of `PeerConfirmer`. */
export interface PeerConfirmerPorts {
  readonly vm: string;
  readonly peers: Pick<DirectPeerClient, "share">;
  readonly tracker: LeadershipTracker;
  readonly registry: ProxyRegistry;
  readonly clock: Pick<Clock, "now">;
}

/** Confirms the known leadership by the other listed proxies while the store does not answer. */
export class PeerConfirmer {
  constructor(private readonly ports: PeerConfirmerPorts) {}

  /** Asks all peers in parallel and returns their answers; none if the last confirmation is recent. */
  async askPeers(): Promise<readonly LeadershipAnswer[]> {
    const { vm, tracker, clock, peers, registry } = this.ports;
    const askedAt = clock.now();
    const { confirmedAt } = tracker;
    if (confirmedAt !== undefined && askedAt - confirmedAt < askPeersAfterMs) return [];
    const others = registry.list().filter((proxy) => proxy.vm !== vm);
    const answers = (
      await Promise.all(
        others.map((proxy) => peers.share(proxy, tracker.latestUpdate, peerTimeoutMs)),
      )
    ).filter((answer) => answer !== undefined);
    for (const answer of answers) tracker.adopt(answer);
    if (registry.wasRegisteredBefore(askedAt)) this.applyAnswers(answers, askedAt);
    return answers;
  }

  /**
   * Adopts the confirmation, with its age, of a peer that reaches the store. If no proxy reaches the store,
   * none can begin a change of primary, so a majority of peers that know of no change confirms as well.
   */
  private applyAnswers(answers: readonly LeadershipAnswer[], askedAt: number): void {
    const { tracker, registry } = this.ports;
    const { version } = tracker.leadership;
    const listingThis = answers.filter((answer) => answer.listsAsker);
    for (const { confirmedAgoMs, storeAgoMs, leadership } of listingThis) {
      if (leadership.version < version) continue;
      if (storeAgoMs !== undefined) tracker.noteStoreAnswer(askedAt - storeAgoMs);
      if (confirmedAgoMs === undefined) continue;
      const at = askedAt - confirmedAgoMs;
      if (registry.wasRegisteredBefore(at)) tracker.confirm(at);
    }
    if (!registry.isListingComplete) return;
    const versions = listingThis.map((answer) => ({ version: answer.leadership.version }));
    const storeAskedAt = tracker.lastAnsweredStoreQueryAt;
    if (isConfirmedByPeers(version, versions, registry.list().length, storeAskedAt, askedAt)) {
      tracker.confirm(askedAt);
    }
  }
}
