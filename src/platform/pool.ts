import { Agent, request, type ClientRequest } from "node:http";

/** What a pool is asked to send. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly signal: AbortSignal;
}

/** A whole answer. */
export interface HttpResponse {
  readonly statusCode: number;
  readonly text: string;
}

/** Kept-alive connections to one origin. */
export interface HttpPool {
  /** Rejects with an `UnsentError` when the call was given up before a connection stood. */
  request(call: HttpRequest): Promise<HttpResponse>;
  /** Closes the connections that no call uses, and the others as their calls end. */
  close(): void;
  /** Closes all connections. */
  destroy(): void;
}

/** The call was given up before a connection stood: no byte of it was sent. */
export class UnsentError extends Error {
  override readonly name = "UnsentError";
}

/** Opens a pool of at most `connections` to an origin such as `http://10.0.0.1:8080`. */
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
        return await exchange(
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
 * Connections may fall silent for good while new ones work. One call that gets no answer shows it; the
 * idle ones are closed with it, since each that is as old would cost one more call its whole time, and
 * after two of them a proxy may use primaries no more.
 */
function closeIdleConnections(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

function exchange(sending: ClientRequest, call: HttpRequest): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    let hasConnection = false;
    const giveUp = () => {
      const reason = call.signal.reason as Error;
      sending.destroy(hasConnection ? reason : new UnsentError(reason.message));
    };
    const end = (finish: () => void) => {
      call.signal.removeEventListener("abort", giveUp);
      finish();
    };
    sending.on("socket", (socket) => {
      if (!socket.connecting) hasConnection = true;
      else socket.once("connect", () => (hasConnection = true));
    });
    sending.on("error", (error) => end(() => reject(error)));
    sending.on("response", (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", (error) => end(() => reject(error)));
      response.on("end", () => {
        const text = Buffer.concat(chunks).toString("utf8");
        end(() => resolve({ statusCode: response.statusCode ?? 0, text }));
      });
    });
    call.signal.addEventListener("abort", giveUp, { once: true });
    for (const [name, value] of Object.entries(call.headers ?? {})) sending.setHeader(name, value);
    if (call.body !== undefined) sending.setHeader("content-length", Buffer.byteLength(call.body));
    sending.end(call.body);
    if (call.signal.aborted) giveUp();
  });
}
