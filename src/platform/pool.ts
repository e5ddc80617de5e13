import { Agent, request, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** A request that is sent over a pool. Aborting the signal makes it reject. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly signal: AbortSignal;
  /** Asked once the connection is established, right before the first byte is sent; by default the request is sent. */
  readonly canSend?: () => boolean;
}

/** A completely received answer; `text` is its body. */
export interface HttpResponse {
  readonly statusCode: number;
  readonly text: string;
}

/** A pool of connections to one origin. */
export interface HttpPool {
  /** Rejects with an `UnsentError` when the connection fails, or the request ends before it or may not be sent. */
  request(call: HttpRequest): Promise<HttpResponse>;
  /** Closes idle connections. Pending requests finish. */
  close(): void;
  /** Closes all connections. Pending requests that have not arrived will not arrive any more. */
  destroy(): void;
}

/** The request ended before its connection was established, or was no longer valid then: no byte of it was sent. */
export class UnsentError extends Error {
  override readonly name = "UnsentError";
}

/** Options of a pool. */
export interface HttpPoolOptions {
  /** Whether a connection is used for several requests. Default true. */
  readonly keepAlive?: boolean;
}

/** Creates a pool of at most `connections` connections to an origin such as `http://10.0.0.1:8080`. */
export function openHttpPool(
  origin: string,
  connections: number,
  { keepAlive = true }: HttpPoolOptions = {},
): HttpPool {
  const agent = new Agent({
    keepAlive,
    maxSockets: connections,
    maxFreeSockets: connections,
  });
  const { hostname, port } = new URL(origin);
  return {
    request: async (call) => {
      try {
        return await sendRequest(
          request({ agent, hostname, port, method: call.method, path: call.path }),
          call,
        );
      } catch (error) {
        closeIdleConnections(agent);
        throw error;
      }
    },
    close: () => closeIdleConnections(agent),
    destroy: () => {
      resetBusyConnections(agent);
      agent.destroy();
    },
  };
}

/**
 * Closes the idle connections after a request has failed. A network fault can silence all established
 * connections for good while new ones work. Each further dead connection would cost another request its
 * whole timeout, and after two such requests a proxy loses its permit to use primaries.
 */
function closeIdleConnections(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

/** Resets the connections of pending requests. */
function resetBusyConnections(agent: Agent): void {
  for (const sockets of Object.values(agent.sockets)) {
    for (const socket of sockets ?? []) discardUnsentBytes(socket);
  }
}

/**
 * Ends a connection so that bytes which have not arrived yet never will. While a partition holds them up, a close
 * would leave them on their way: an order that its sender has given up would be carried out seconds later, after
 * those of its successor. Only a reset makes the kernel drop them.
 */
function discardUnsentBytes(socket: Socket): void {
  if (socket.connecting) socket.destroy();
  else socket.resetAndDestroy();
}

function sendRequest(clientRequest: ClientRequest, call: HttpRequest): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    let hasSent = false;
    const end = (reason: string) => {
      if (!hasSent) {
        clientRequest.destroy(new UnsentError(reason));
        return;
      }
      if (clientRequest.socket !== null) discardUnsentBytes(clientRequest.socket);
      clientRequest.destroy(new Error(reason));
    };
    const abort = () => end((call.signal.reason as Error).message);
    const settle = (finish: () => void) => {
      call.signal.removeEventListener("abort", abort);
      finish();
    };
    const send = () => {
      if (call.canSend?.() === false) {
        end("the request was no longer valid when its connection was established");
        return;
      }
      hasSent = true;
      clientRequest.end(call.body);
    };
    clientRequest.on("socket", (socket) => {
      if (socket.connecting) socket.once("connect", send);
      else send();
    });
    clientRequest.on("error", (error) => {
      settle(() => reject(hasSent ? error : new UnsentError(error.message)));
    });
    clientRequest.on("response", (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", (error) => settle(() => reject(error)));
      response.on("end", () => {
        const text = Buffer.concat(chunks).toString("utf8");
        settle(() => resolve({ statusCode: response.statusCode ?? 0, text }));
      });
    });
    call.signal.addEventListener("abort", abort, { once: true });
    for (const [name, value] of Object.entries(call.headers ?? {}))
      clientRequest.setHeader(name, value);
    if (call.body !== undefined)
      clientRequest.setHeader("content-length", Buffer.byteLength(call.body));
    if (call.signal.aborted) abort();
  });
}
