import { Agent, request, type ClientRequest } from "node:http";

/** A request that is sent over a pool. Aborting the signal makes it reject. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly signal: AbortSignal;
}

/** A completely received answer; `text` is its body. */
export interface HttpResponse {
  readonly statusCode: number;
  readonly text: string;
}

/** A pool of keep-alive connections to one origin. */
export interface HttpPool {
  /** Rejects with an `UnsentError` when the request is aborted before its connection is established. */
  request(call: HttpRequest): Promise<HttpResponse>;
  /** Closes idle connections. Pending requests finish. */
  close(): void;
  /** Closes all connections. */
  destroy(): void;
}

/** The request was aborted before its connection was established: no byte of it was sent. */
export class UnsentError extends Error {
  override readonly name = "UnsentError";
}

/** Creates a pool of at most `connections` connections to an origin such as `http://10.0.0.1:8080`. */
export function openHttpPool(origin: string, connections: number): HttpPool {
  const agent = new Agent({
    keepAlive: true,
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
    destroy: () => agent.destroy(),
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

function sendRequest(clientRequest: ClientRequest, call: HttpRequest): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    let hasConnection = false;
    const abort = () => {
      const reason = call.signal.reason as Error;
      clientRequest.destroy(hasConnection ? reason : new UnsentError(reason.message));
    };
    const settle = (finish: () => void) => {
      call.signal.removeEventListener("abort", abort);
      finish();
    };
    clientRequest.on("socket", (socket) => {
      if (!socket.connecting) hasConnection = true;
      else socket.once("connect", () => (hasConnection = true));
    });
    clientRequest.on("error", (error) => settle(() => reject(error)));
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
    clientRequest.end(call.body);
    if (call.signal.aborted) abort();
  });
}
