import type { DirectPeerClient } from "../directpeer/index.js";
import type { LeadershipAnswer, LeadershipWord, Proxy } from "../leadership/index.js";
import type { Clock } from "../model/index.js";
import { hashPair } from "../policy/index.js";

/** An answer within the data centre takes 1 ms, on a busy proxy some tens more. */
const readerTimeoutMs = 150;
/** One that is followed by many may be in another data centre, and busy. */
const upstreamTimeoutMs = 400;
/**
 * What the reader had of the store longer ago than this, in milliseconds, is no look: it looks each 0.7 s
 * with a tenth of jitter, so that one of its own has failed or hangs.
 */
const maxPollAgeMs = 900;
/** A reader that did not do is passed over for this long: several times what a restart takes. */
const avoidMs = 3000;

/** What a reader has told of its last look at the store. */
export interface PollResult {
  readonly reader: Proxy;
  readonly answer: LeadershipAnswer;
  /** When the store was asked, on this proxy's clock. */
  readonly polledAt: number;
  /** When the reader was confirmed; absent while it is not. */
  readonly confirmedAt: number | undefined;
  readonly revision: number;
}

/**
 * The proxy that looks at the store for its data centre: the first that nobody has missed and that is
 * not passed over. All choose alike as long as they have the same listing and see the same failures;
 * where they don't, one more looks for itself.
 */
export function chooseReader(
  dataCentre: string,
  proxies: readonly Proxy[],
  isAvoided: (vm: string) => boolean,
): Proxy | undefined {
  const near = proxies.filter((p) => p.dataCentre === dataCentre && p.isMissed !== true);
  const fit = near.filter(({ vm }) => !isAvoided(vm));
  return fit.reduce<Proxy | undefined>(
    (first, proxy) => (first === undefined || proxy.vm < first.vm ? proxy : first),
    undefined,
  );
}

/**
 * The proxy that one which is not listed follows: any that is, in its own data centre where there is one,
 * by a hash of its name so that all share the load.
 */
export function chooseUpstream(
  vm: string,
  dataCentre: string,
  proxies: readonly Proxy[],
  isAvoided: (vm: string) => boolean,
): Proxy | undefined {
  const fit = proxies.filter((p) => p.vm !== vm && p.isMissed !== true && !isAvoided(p.vm));
  const near = fit.filter((proxy) => proxy.dataCentre === dataCentre);
  const pool = near.length > 0 ? near : fit;
  const scored = pool.map((proxy) => ({ proxy, score: hashPair(vm, proxy.vm) }));
  return scored.sort((a, b) => b.score - a.score)[0]?.proxy;
}

/** What came of asking a listed proxy. */
export type UpstreamAnswer =
  | { readonly type: "look"; readonly look: PollResult }
  /** It lives, and has not reached the store lately itself. */
  | { readonly type: "old"; readonly answer: LeadershipAnswer }
  | { readonly type: "silent" };

/** What a question to the reader needs. */
export interface ReaderClientPorts {
  readonly vm: string;
  readonly dataCentre: string;
  readonly peers: Pick<DirectPeerClient, "share">;
  readonly clock: Clock;
}

/**
 * Asks the data centre's reader instead of the store. Most calls would be steady looks otherwise; one proxy
 * of a data centre does for all. It saves calls and proves nothing less: each answer has its age, and one that is too old or says that the asking proxy
 * is not listed counts as none, so that the store is asked at once.
 */
export class ReaderClient {
  private readonly avoidedUntil = new Map<string, number>();

  constructor(private readonly ports: ReaderClientPorts) {}

  /** The reader's last look; nothing where this proxy has to look for itself. */
  async askReader(
    proxies: readonly Proxy[],
    update: LeadershipWord,
  ): Promise<PollResult | undefined> {
    const { vm, dataCentre, peers, clock } = this.ports;
    const askedAt = clock.now();
    const isPassedOver = (name: string) => (this.avoidedUntil.get(name) ?? 0) > askedAt;
    const reader = chooseReader(dataCentre, proxies, isPassedOver);
    if (reader === undefined || reader.vm === vm) return undefined;
    const answer = await peers.share(reader, update, readerTimeoutMs);
    const isUsable = answer?.listsAsker === true;
    const look = isUsable ? toPollResult(reader, answer, askedAt) : undefined;
    if (look === undefined) this.avoidedUntil.set(reader.vm, askedAt + avoidMs);
    return look;
  }

  /** Asks a listed proxy on behalf of this one, which is not listed. */
  async askUpstream(proxies: readonly Proxy[], update: LeadershipWord): Promise<UpstreamAnswer> {
    const { vm, dataCentre, peers, clock } = this.ports;
    const askedAt = clock.now();
    const isPassedOver = (name: string) => (this.avoidedUntil.get(name) ?? 0) > askedAt;
    const upstream = chooseUpstream(vm, dataCentre, proxies, isPassedOver);
    if (upstream === undefined) return { type: "silent" };
    const answer = await peers.share(upstream, update, upstreamTimeoutMs);
    const look = answer === undefined ? undefined : toPollResult(upstream, answer, askedAt);
    if (look !== undefined) return { type: "look", look };
    if (answer !== undefined) return { type: "old", answer };
    this.avoidedUntil.set(upstream.vm, askedAt + avoidMs);
    return { type: "silent" };
  }
}

function toPollResult(
  reader: Proxy,
  answer: LeadershipAnswer,
  askedAt: number,
): PollResult | undefined {
  const { lookedAgoMs, storeRevision: revision, confirmedAgoMs } = answer;
  if (lookedAgoMs === undefined || revision === undefined) return undefined;
  if (lookedAgoMs > maxPollAgeMs) return undefined;
  const confirmedAt = confirmedAgoMs === undefined ? undefined : askedAt - confirmedAgoMs;
  return { reader, answer, polledAt: askedAt - lookedAgoMs, confirmedAt, revision };
}
