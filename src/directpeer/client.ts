import { createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { peerEvents } from "../log/events/peer.js";
import type { Logger } from "../log/index.js";
import type {
  LeadershipAnswer,
  LeadershipPeers,
  LeadershipUpdate,
  Proxy,
  TargetAnswer,
  TargetQuestion,
} from "../leadership/index.js";
import type { Address } from "../model/index.js";
import { DirectPeer } from "../peer/gen/radishwalk/direct/v1/direct_pb.js";
import type { TokenGrant } from "../rates/index.js";
import { decodeLeadershipAnswer, decodeTargetAnswer, encodeLeadershipUpdate } from "./codec.js";

/** A request for tokens of a team, in the fields of the message. */
export interface TokenRequest {
  readonly team: string;
  /** How many tokens are wanted at most. */
  readonly wanted: number;
}

/** Calls to peers. Each ends within its timeout, with `undefined` when it was not answered. */
export class DirectPeerClient implements LeadershipPeers {
  private readonly clients = new Map<string, Client<typeof DirectPeer>>();

  constructor(
    private readonly vm: string,
    private readonly logger: Logger,
  ) {}

  async share(
    proxy: Proxy,
    word: LeadershipUpdate,
    timeoutMs: number,
  ): Promise<LeadershipAnswer | undefined> {
    const request = { vm: this.vm, ...encodeLeadershipUpdate(word) };
    const answer = await this.callPeer(proxy.vm, () =>
      this.getClient(proxy.address).share(request, { timeoutMs }),
    );
    return answer === undefined ? undefined : decodeLeadershipAnswer(answer);
  }

  async askTarget(
    proxy: Proxy,
    { group, target, demoteRound }: TargetQuestion,
    timeoutMs: number,
  ): Promise<TargetAnswer | undefined> {
    const request = { group, target, ...(demoteRound === undefined ? {} : { demoteRound }) };
    const answer = await this.callPeer(proxy.vm, () =>
      this.getClient(proxy.address).askTarget(request, { timeoutMs }),
    );
    return answer === undefined ? undefined : decodeTargetAnswer(answer);
  }

  /** Requests tokens of a team. If the answer is lost, so are its tokens, and they let nothing run. */
  async takeTokens(
    proxy: Proxy,
    request: TokenRequest,
    timeoutMs: number,
  ): Promise<TokenGrant | undefined> {
    return this.callPeer(proxy.vm, () =>
      this.getClient(proxy.address).takeTokens(request, { timeoutMs }),
    );
  }

  /** Fetches the scene that a peer knows, as JSON. */
  async fetchScene(address: Address, timeoutMs: number): Promise<string | undefined> {
    const answer = await this.callPeer(`${address.host}:${address.port}`, () =>
      this.getClient(address).fetchScene({}, { timeoutMs }),
    );
    return answer?.snapshot;
  }

  private async callPeer<T>(peer: string, call: () => Promise<T>): Promise<T | undefined> {
    try {
      return await call();
    } catch (error) {
      this.logger.write(peerEvents.directCallFailed, { peer, reason: String(error) });
      return undefined;
    }
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
