import { createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { peerEvents } from "../log/events/peer.js";
import type { Logger } from "../log/index.js";
import type {
  LeadershipAnswer,
  LeadershipPeers,
  LeadershipWord,
  Proxy,
  TargetAnswer,
  TargetQuestion,
} from "../leadership/index.js";
import type { Address } from "../model/index.js";
import { DirectPeer } from "../peer/gen/radishwalk/direct/v1/direct_pb.js";
import type { TokenGrant } from "../rates/index.js";
import { decodeLeadershipAnswer, decodeTargetAnswer, encodeLeadershipMessage } from "./codec.js";

/** What a process asks of another whose tokens may do for both. */
export interface TokenRequest {
  readonly team: string;
  readonly wanted: number;
}

/** Calls to peers. Each ends within its timeout; one without an answer gives `undefined`. */
export class DirectPeerClient implements LeadershipPeers {
  private readonly clients = new Map<string, Client<typeof DirectPeer>>();

  constructor(
    private readonly vm: string,
    private readonly logger: Logger,
  ) {}

  async share(
    proxy: Proxy,
    word: LeadershipWord,
    timeoutMs: number,
  ): Promise<LeadershipAnswer | undefined> {
    const request = { vm: this.vm, ...encodeLeadershipMessage(word) };
    const answer = await this.ask(proxy.vm, () =>
      this.open(proxy.address).share(request, { timeoutMs }),
    );
    return answer === undefined ? undefined : decodeLeadershipAnswer(answer);
  }

  async askTarget(
    proxy: Proxy,
    { group, target, demoteRound }: TargetQuestion,
    timeoutMs: number,
  ): Promise<TargetAnswer | undefined> {
    const request = { group, target, ...(demoteRound === undefined ? {} : { demoteRound }) };
    const answer = await this.ask(proxy.vm, () =>
      this.open(proxy.address).askTarget(request, { timeoutMs }),
    );
    return answer === undefined ? undefined : decodeTargetAnswer(answer);
  }

  /** Takes tokens of a team; those that are lost on the way let nothing run. */
  async takeTokens(
    proxy: Proxy,
    question: TokenRequest,
    timeoutMs: number,
  ): Promise<TokenGrant | undefined> {
    return this.ask(proxy.vm, () => this.open(proxy.address).takeTokens(question, { timeoutMs }));
  }

  /** What a peer knows of the scene, as JSON. */
  async fetchScene(address: Address, timeoutMs: number): Promise<string | undefined> {
    const answer = await this.ask(`${address.host}:${address.port}`, () =>
      this.open(address).fetchScene({}, { timeoutMs }),
    );
    return answer?.snapshot;
  }

  private async ask<T>(peer: string, call: () => Promise<T>): Promise<T | undefined> {
    try {
      return await call();
    } catch (error) {
      this.logger.write(peerEvents.directSilent, { peer, reason: String(error) });
      return undefined;
    }
  }

  private open({ host, port }: Address): Client<typeof DirectPeer> {
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
