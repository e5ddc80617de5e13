import { createServer, type Server } from "node:http";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type {
  LeadershipAnswer,
  LeadershipUpdate,
  TargetAnswer,
  TargetQuestion,
} from "../leadership/index.js";
import type { Address, Disposable } from "../model/index.js";
import { DirectPeer, type TakeTokensRequest } from "../peer/gen/radishwalk/direct/v1/direct_pb.js";
import type { TokenGrant } from "../rates/index.js";
import { decodeLeadershipUpdate, encodeLeadershipAnswer, encodeTargetAnswer } from "./codec.js";

/** Handles the calls of peers. */
export interface DirectPeerHandlers {
  /** Takes in what the peer `from` knows of the leadership, and returns what this process knows. */
  receiveLeadership(from: string, word: LeadershipUpdate): LeadershipAnswer;
  /** Asks a target over a connection of this process. */
  askTarget(question: TargetQuestion): Promise<TargetAnswer>;
  /** The scene that this process knows, as JSON; empty when it knows none. */
  encodeScene(): string;
  /** Transfers tokens of a team to another process, at most as many as it wants and as can be spared here. */
  grantTokens(team: string, wanted: number): TokenGrant;
}

/** Serves this process's peers over HTTP/1.1. */
export class DirectPeerServer implements Disposable {
  private readonly server: Server;

  constructor(
    private readonly address: Address,
    handlers: DirectPeerHandlers,
  ) {
    const routes = (router: ConnectRouter) => {
      router.service(DirectPeer, createService(handlers));
    };
    this.server = createServer(connectNodeAdapter({ routes }));
  }

  async listen(): Promise<void> {
    const { host, port } = this.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, resolve);
    });
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

function createService(handlers: DirectPeerHandlers) {
  return {
    share: (request: Parameters<typeof decodeLeadershipUpdate>[0] & { readonly vm: string }) =>
      encodeLeadershipAnswer(
        handlers.receiveLeadership(request.vm, decodeLeadershipUpdate(request)),
      ),
    askTarget: async (request: {
      readonly group: string;
      readonly target: string;
      readonly demoteRound?: number | undefined;
    }) => {
      const { group, target, demoteRound } = request;
      return encodeTargetAnswer(await handlers.askTarget({ group, target, demoteRound }));
    },
    fetchScene: () => ({ snapshot: handlers.encodeScene() }),
    takeTokens: ({ team, wanted }: TakeTokensRequest) => {
      const { tokens, lifeMs, batches = [] } = handlers.grantTokens(team, wanted);
      return { tokens, lifeMs, batches: [...batches] };
    },
  };
}
