import type { Http2ServerRequest, Http2ServerResponse } from "node:http2";
import { createConnectRouter, type ServiceImpl } from "@connectrpc/connect";
import {
  universalRequestFromNodeRequest,
  universalResponseToNodeResponse,
} from "@connectrpc/connect-node";
import { peerEvents } from "../log/events/peer.js";
import type { Logger } from "../log/index.js";
import { Peer } from "./gen/radishwalk/peer/v1/peer_pb.js";

/** Takes one HTTP/2 request. */
export type RequestHandler = (request: Http2ServerRequest, response: Http2ServerResponse) => void;

const maxMessageBytes = 64 * 1024 * 1024;
const notFound = 404;

/**
 * Serves the service over HTTP/2. connect-node's adapter would do, but writes each call that a peer
 * gave up to the process's error output.
 */
export function createHandler(service: ServiceImpl<typeof Peer>, logger: Logger): RequestHandler {
  const router = createConnectRouter({
    grpc: false,
    grpcWeb: false,
    acceptCompression: [],
    readMaxBytes: maxMessageBytes,
  });
  router.service(Peer, service);
  const byPath = new Map(router.handlers.map((handler) => [handler.requestPath, handler]));
  return (request, response) => {
    const handler = byPath.get(request.url);
    if (handler === undefined) {
      response.writeHead(notFound).end();
      return;
    }
    handler(universalRequestFromNodeRequest(request, response, undefined, undefined))
      .then((answer) => universalResponseToNodeResponse(answer, response))
      .catch((error: unknown) => logger.write(peerEvents.callFailed, { reason: String(error) }));
  };
}
