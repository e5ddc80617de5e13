import { createClient, type CallOptions, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { peerEvents } from "../log/events/peer.js";
import type { Logger } from "../log/index.js";
import {
  findAnswer,
  type LeadershipAnswer,
  type LeadershipPeers,
  type LeadershipUpdate,
  type PeerResult,
  type Proxy,
  type TargetAnswer,
  type TargetQuestion,
} from "../leadership/index.js";
import type { Address, Clock } from "../model/index.js";
import { DirectPeer } from "../peer/gen/radishwalk/direct/v1/direct_pb.js";
import { assumedCrossingMs } from "../topology/index.js";
import { ResponseTimes, startStallTolerantTimer } from "../system/index.js";
import type { TokenGrant } from "../rates/index.js";
import { decodeLeadershipAnswer, decodeTargetAnswer, encodeLeadershipUpdate } from "./codec.js";

/** A request for tokens of a team, in the fields of the message. */
export interface TokenRequest {
  readonly team: string;
  /** How many tokens are wanted at most. */
  readonly wanted: number;
}

/** How calls to proxies in another region differ. */
export interface RemotePeers {
  readonly isRemote: (proxy: Proxy) => boolean;
  readonly onRemoteCall: () => void;
}

const noRemotePeers: RemotePeers = { isRemote: () => false, onRemoteCall: () => undefined };

/**
 * Added to the timeout of a call to another region, in milliseconds: one round trip to open a connection and one
 * for the call. The timeouts of the callers allow for the few milliseconds within a region.
 */
const remoteExtraMs = 2 * assumedCrossingMs;

/** Calls to peers. Each ends within its timeout. An answer that can't be decoded counts as none. */
export class DirectPeerClient implements LeadershipPeers {
  private readonly clients = new Map<string, Client<typeof DirectPeer>>();

  private readonly responseTimes: ResponseTimes;
  /** Kept apart, since the way to another region would stretch the timeouts of near peers. */
  private readonly remoteResponseTimes: ResponseTimes;

  constructor(
    private readonly vm: string,
    private readonly logger: Logger,
    clock: Pick<Clock, "now">,
    private readonly remote: RemotePeers = noRemotePeers,
  ) {
    this.responseTimes = new ResponseTimes(() => clock.now());
    this.remoteResponseTimes = new ResponseTimes(() => clock.now());
  }

  async share(
    proxy: Proxy,
    word: LeadershipUpdate,
    timeoutMs: number,
  ): Promise<PeerResult<LeadershipAnswer>> {
    const request = { vm: this.vm, ...encodeLeadershipUpdate(word) };
    return this.callProxy("share", proxy, timeoutMs, async (options) =>
      decodeLeadershipAnswer(await this.getClient(proxy.address).share(request, options)),
    );
  }

  async askTarget(
    proxy: Proxy,
    { group, target, demoteRound }: TargetQuestion,
    timeoutMs: number,
  ): Promise<PeerResult<TargetAnswer>> {
    const request = { group, target, ...(demoteRound === undefined ? {} : { demoteRound }) };
    return this.callProxy("askTarget", proxy, timeoutMs, async (options) =>
      decodeTargetAnswer(await this.getClient(proxy.address).askTarget(request, options)),
    );
  }

  /** Requests tokens of a team. If the answer is lost, so are its tokens, and they let nothing run. */
  async takeTokens(
    proxy: Proxy,
    request: TokenRequest,
    timeoutMs: number,
  ): Promise<TokenGrant | undefined> {
    const result = await this.callProxy("takeTokens", proxy, timeoutMs, async (options) =>
      this.getClient(proxy.address).takeTokens(request, options),
    );
    return findAnswer(result);
  }

  /** Fetches the scene that a peer knows, as JSON. */
  async fetchScene(address: Address, timeoutMs: number): Promise<string | undefined> {
    const peer = { vm: `${address.host}:${address.port}` };
    const result = await this.callPeer("fetchScene", peer, timeoutMs, async (options) =>
      this.getClient(address).fetchScene({}, options),
    );
    return findAnswer(result)?.snapshot;
  }

  private callProxy<T>(
    method: string,
    proxy: Proxy,
    usualTimeoutMs: number,
    call: (options: CallOptions) => Promise<T>,
  ): Promise<PeerResult<T>> {
    const { isRemote, onRemoteCall } = this.remote;
    if (!isRemote(proxy)) return this.callPeer(method, proxy, usualTimeoutMs, call);
    onRemoteCall();
    const timeoutMs = usualTimeoutMs + remoteExtraMs;
    return this.callPeer(method, proxy, timeoutMs, call, this.remoteResponseTimes);
  }

  private async callPeer<T>(
    method: string,
    { vm }: Pick<Proxy, "vm">,
    usualTimeoutMs: number,
    call: (options: CallOptions) => Promise<T>,
    responseTimes = this.responseTimes,
  ): Promise<PeerResult<T>> {
    const longest = new AbortController();
    const stopTimer = startStallTolerantTimer(
      ResponseTimes.getLongestTimeoutMs(usualTimeoutMs),
      () => longest.abort(),
    );
    const pending = call({ signal: longest.signal }).finally(stopTimer);
    try {
      const answer = await responseTimes.awaitAnswer(pending, usualTimeoutMs);
      if (answer !== undefined) return { type: "answered", answer };
      this.logFailure(vm, method, "no answer in time");
    } catch (error) {
      this.logFailure(vm, method, String(error));
    }
    return { type: "silent" };
  }

  private logFailure(peer: string, method: string, reason: string): void {
    this.logger.write(peerEvents.directCallFailed, { peer, method, reason });
  }

  private getClient({ host, port }: Address): Client<typeof DirectPeer> {
    const baseUrl = `http://${host}:${port}`;
    const known = this.clients.get(baseUrl);
    if (known !== undefined) return known;
    const client = createClient(
      DirectPeer,
      createConnectTransport({ baseUrl, httpVersion: "1.1" }),
    );
    this.clients.set(baseUrl, client);
    return client;
  }
}
