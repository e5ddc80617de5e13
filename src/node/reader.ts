import type { DirectPeerClient } from "../directpeer/index.js";
import {
  findAnswer,
  type LeadershipAnswer,
  type LeadershipUpdate,
  type Proxy,
} from "../leadership/index.js";
import type { Clock } from "../model/index.js";
import { hashPair } from "../policy/index.js";
import { distances, singleRegion, type Topology } from "../topology/index.js";
import { findMaxPollAgeMs } from "./confirmation-age.js";

/** In milliseconds: an answer within the data centre takes 1 ms, on a busy proxy some tens more. */
const readerTimeoutMs = 150;
/** In milliseconds; longer, since an upstream may be in another data centre and busy with many requests. */
const upstreamTimeoutMs = 400;
/** A reader that gave no usable answer is avoided for this long, in milliseconds: several restarts. */
const avoidMs = 3000;

/** The last poll of the store by another proxy, as that proxy reported it. */
export interface PollResult {
  readonly reader: Proxy;
  readonly answer: LeadershipAnswer;
  /** When the store was polled, on this proxy's clock. */
  readonly polledAt: number;
  /** When the reader's leadership was confirmed; undefined while it is not. */
  readonly confirmedAt: number | undefined;
  readonly revision: number;
}

/**
 * Chooses the proxy that polls the store for its data centre: the first by name that is not marked as missed
 * and is not avoided. All proxies with the same listing and the same failures choose the same one; if they
 * differ, one more proxy polls the store itself.
 */
export function chooseReader(
  dataCentre: string,
  proxies: readonly Proxy[],
  isAvoided: (vm: string) => boolean,
): Proxy | undefined {
  const near = proxies.filter((p) => p.dataCentre === dataCentre && p.isMissed !== true);
  const eligible = near.filter(({ vm }) => !isAvoided(vm));
  return eligible.reduce<Proxy | undefined>(
    (first, proxy) => (first === undefined || proxy.vm < first.vm ? proxy : first),
    undefined,
  );
}

/**
 * Chooses the listed proxy that an unlisted one polls, preferably in the same data centre, then in the same
 * region. A hash of both names distributes the load over the listed proxies.
 */
export function chooseUpstream(
  vm: string,
  dataCentre: string,
  proxies: readonly Proxy[],
  isAvoided: (vm: string) => boolean,
  topology: Topology = singleRegion,
): Proxy | undefined {
  const eligible = proxies.filter((p) => p.vm !== vm && p.isMissed !== true && !isAvoided(p.vm));
  const measure = (proxy: Proxy) => topology.measureDistance(dataCentre, proxy.dataCentre ?? "");
  const pools = distances.map((distance) => eligible.filter((p) => measure(p) === distance));
  const pool = pools.find((found) => found.length > 0) ?? [];
  const scored = pool.map((proxy) => ({ proxy, score: hashPair(vm, proxy.vm) }));
  return scored.sort((a, b) => b.score - a.score)[0]?.proxy;
}

/** The result of polling through a listed proxy. */
export type UpstreamAnswer =
  | { readonly type: "poll"; readonly poll: PollResult }
  /** The proxy answered, but has not reached the store recently itself. */
  | { readonly type: "stale"; readonly answer: LeadershipAnswer }
  | { readonly type: "silent" };

/** The dependencies of `ReaderClient`. */
export interface ReaderClientPorts {
  readonly vm: string;
  readonly dataCentre: string;
  readonly topology: Topology;
  readonly peers: Pick<DirectPeerClient, "share">;
  readonly clock: Clock;
}

/**
 * Asks the data centre's reader instead of the store, so that one proxy polls for all; otherwise most calls
 * to the store would be polls. The guarantees stay the same: each answer states its age, and one that is too
 * old, or does not list the asking proxy, is discarded and the store is polled at once.
 */
export class ReaderClient {
  private readonly avoidedUntil = new Map<string, number>();

  constructor(private readonly ports: ReaderClientPorts) {}

  /** Returns the reader's last poll; undefined when this proxy has to poll the store itself. */
  async askReader(
    proxies: readonly Proxy[],
    update: LeadershipUpdate,
  ): Promise<PollResult | undefined> {
    const { vm, dataCentre, topology, peers, clock } = this.ports;
    const askedAt = clock.now();
    const isAvoided = (name: string) => (this.avoidedUntil.get(name) ?? 0) > askedAt;
    const reader = chooseReader(dataCentre, proxies, isAvoided);
    if (reader === undefined || reader.vm === vm) return undefined;
    const answer = findAnswer(await peers.share(reader, update, readerTimeoutMs));
    const isUsable = answer?.listsAsker === true;
    const maxAgeMs = findMaxPollAgeMs(topology);
    const poll = isUsable ? toPollResult(reader, answer, askedAt, maxAgeMs) : undefined;
    if (poll === undefined) this.avoidedUntil.set(reader.vm, askedAt + avoidMs);
    return poll;
  }

  /** Polls through a listed proxy, on behalf of this one, which is not listed. */
  async askUpstream(proxies: readonly Proxy[], update: LeadershipUpdate): Promise<UpstreamAnswer> {
    const { vm, dataCentre, topology, peers, clock } = this.ports;
    const askedAt = clock.now();
    const isAvoided = (name: string) => (this.avoidedUntil.get(name) ?? 0) > askedAt;
    const upstream = chooseUpstream(vm, dataCentre, proxies, isAvoided, topology);
    if (upstream === undefined) return { type: "silent" };
    const answer = findAnswer(await peers.share(upstream, update, upstreamTimeoutMs));
    const maxAgeMs = findMaxPollAgeMs(topology);
    const poll =
      answer === undefined ? undefined : toPollResult(upstream, answer, askedAt, maxAgeMs);
    if (poll !== undefined) return { type: "poll", poll };
    if (answer !== undefined) return { type: "stale", answer };
    this.avoidedUntil.set(upstream.vm, askedAt + avoidMs);
    return { type: "silent" };
  }
}

function toPollResult(
  reader: Proxy,
  answer: LeadershipAnswer,
  askedAt: number,
  maxAgeMs: number,
): PollResult | undefined {
  const { lookedAgoMs, storeRevision: revision, confirmedAgoMs } = answer;
  if (lookedAgoMs === undefined || revision === undefined) return undefined;
  if (lookedAgoMs > maxAgeMs) return undefined;
  const confirmedAt = confirmedAgoMs === undefined ? undefined : askedAt - confirmedAgoMs;
  return { reader, answer, polledAt: askedAt - lookedAgoMs, confirmedAt, revision };
}
