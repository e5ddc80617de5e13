import type { DirectPeerClient } from "../directpeer/index.js";
import {
  findAnswer,
  isConfirmedByPeers,
  type LeadershipAnswer,
  type LeadershipTracker,
  type Proxy,
} from "../leadership/index.js";
import type { Clock, Random } from "../model/index.js";
import { shuffle } from "../system/index.js";
import { compareDistance, type Topology } from "../topology/index.js";
import type { ProxyRegistry } from "./proxy-registry.js";

/** Peers are asked once the last confirmation is older than this, in milliseconds: one poll has failed. */
const askPeersAfterMs = 500;
/**
 * How many peers are asked first. One that reaches the store is enough, and all are asked only when none of
 * these confirms: if every process asked all others whenever the store is slow to answer, these requests
 * alone would keep the processors too busy for the store's answers to be read in time.
 */
const firstPeers = 3;
/** Timeout of a request to a peer: a round trip takes 1 to 3 ms, on a busy peer some tens more. */
export const peerTimeoutMs = 250;

/** A peer's answer, and when the request was sent. */
interface TimedAnswer extends LeadershipAnswer {
  readonly askedAt: number;
}

/** The dependencies of `PeerConfirmer`. */
export interface PeerConfirmerPorts {
  readonly vm: string;
  readonly dataCentre: string;
  readonly topology: Topology;
  readonly peers: Pick<DirectPeerClient, "share">;
  readonly tracker: LeadershipTracker;
  readonly registry: ProxyRegistry;
  readonly clock: Pick<Clock, "now">;
  readonly random: Random;
}

/** Confirms the known leadership by the other listed proxies while the store does not answer. */
export class PeerConfirmer {
  constructor(private readonly ports: PeerConfirmerPorts) {}

  /**
   * Asks a few peers, and all others if these do not confirm what is known here. Returns the answers; none if
   * the last confirmation is recent.
   */
  async askPeers(): Promise<readonly LeadershipAnswer[]> {
    const { vm, clock, registry, random } = this.ports;
    const startedAt = clock.now();
    if (this.isConfirmedSince(startedAt - askPeersAfterMs)) return [];
    const others = this.orderByDistance(
      shuffle(
        registry.list().filter((proxy) => proxy.vm !== vm),
        random,
      ),
    );
    const first = await this.askAll(others.slice(0, firstPeers), []);
    if (this.isConfirmedSince(startedAt - askPeersAfterMs)) return first;
    return this.askAll(others.slice(firstPeers), first);
  }

  /** Where there are regions, the nearest come first; otherwise the order is kept. */
  private orderByDistance(proxies: readonly Proxy[]): readonly Proxy[] {
    const { topology, dataCentre } = this.ports;
    if (!topology.hasRegions) return proxies;
    const measure = (proxy: Proxy) => topology.measureDistance(dataCentre, proxy.dataCentre ?? "");
    return [...proxies].sort((a, b) => compareDistance(measure(a), measure(b)));
  }

  /** Asks peers in parallel, and applies their answers together with earlier ones. */
  private async askAll(
    proxies: readonly Proxy[],
    earlier: readonly TimedAnswer[],
  ): Promise<readonly TimedAnswer[]> {
    const { tracker, clock, peers, registry } = this.ports;
    const askedAt = clock.now();
    const results = await Promise.all(
      proxies.map((proxy) => peers.share(proxy, tracker.latestUpdate, peerTimeoutMs)),
    );
    const known = results.flatMap((result) => findAnswer(result) ?? []);
    for (const answer of known) tracker.adopt(answer);
    const all = [...earlier, ...known.map((answer) => ({ ...answer, askedAt }))];
    const firstAskedAt = Math.min(askedAt, ...earlier.map((answer) => answer.askedAt));
    if (registry.wasRegisteredBefore(firstAskedAt)) this.applyAnswers(all, firstAskedAt);
    return all;
  }

  private isConfirmedSince(time: number): boolean {
    const { confirmedAt } = this.ports.tracker;
    return confirmedAt !== undefined && confirmedAt > time;
  }

  /**
   * Adopts the confirmation, with its age, of a peer that reaches the store. If no proxy reaches the store,
   * none can begin a change of primary, so a majority of peers that know of no change confirms as well.
   */
  private applyAnswers(answers: readonly TimedAnswer[], firstAskedAt: number): void {
    const { tracker, registry } = this.ports;
    const { version } = tracker.leadership;
    const listingThis = answers.filter((answer) => answer.listsAsker);
    for (const { confirmedAgoMs, storeAgoMs, leadership, askedAt } of listingThis) {
      if (leadership.version < version) continue;
      if (storeAgoMs !== undefined) tracker.noteStoreAnswer(askedAt - storeAgoMs);
      if (confirmedAgoMs === undefined) continue;
      const at = askedAt - confirmedAgoMs;
      if (registry.wasRegisteredBefore(at)) tracker.confirm(at);
    }
    if (!registry.isListingComplete) return;
    const versions = listingThis.map((answer) => ({ version: answer.leadership.version }));
    const storeAskedAt = tracker.lastAnsweredStoreQueryAt;
    if (isConfirmedByPeers(version, versions, registry.list().length, storeAskedAt, firstAskedAt)) {
      tracker.confirm(firstAskedAt);
    }
  }
}

/** The answer with the highest store revision. */
export function findNewestAnswer(
  answers: readonly LeadershipAnswer[],
): LeadershipAnswer | undefined {
  return answers.reduce<LeadershipAnswer | undefined>(
    (newest, answer) =>
      (answer.storeRevision ?? -1) > (newest?.storeRevision ?? -1) ? answer : newest,
    undefined,
  );
}
