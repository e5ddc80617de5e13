import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Address, Disposable, Json } from "../model/index.js";
import type { Metrics } from "./metrics.js";

/** The state that decides whether the process is ready. */
export interface HealthState {
  /** Whether a configuration from the store or a peer is in force. */
  readonly isConfigurationKnown: boolean;
  readonly isLeaving: boolean;
}

/** The sources of the pages that a `HealthServer` serves. */
export interface HealthServerOptions {
  readonly metrics: Metrics;
  getState(): HealthState;
  /** Additional fields of `/health`, such as the VM and the revision in force. */
  getSummary?(): Readonly<Record<string, Json>>;
  /** The process's report to operators, served on `/report`. */
  getReport(): Json | Promise<Json>;
  /** The configuration in force, served on `/configuration`; `undefined` while none is known. */
  getConfiguration?(): Json | undefined;
  /** Starts a drain on `POST /drain`; absent if the process can't be drained over HTTP. */
  startDrain?(): void;
}

interface Reply {
  readonly status: number;
  readonly type: string;
  readonly body: string;
}

const requestTimeoutMs = 5000;
const maxConnections = 100;

/**
 * Serves the balancer and operators over plain HTTP. It asks for no credentials, so its address must
 * be reachable from their network only.
 */
export class HealthServer implements Disposable {
  private readonly server: Server;

  constructor(private readonly options: HealthServerOptions) {
    this.server = createServer((request, response) => void this.handle(request, response));
    this.server.requestTimeout = requestTimeoutMs;
    this.server.headersTimeout = requestTimeoutMs;
    this.server.maxConnections = maxConnections;
  }

  /** Listens and resolves with the address, with the actual port if 0 was given. */
  listen({ host, port }: Address): Promise<Address> {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, () => {
        resolve({ host, port: (this.server.address() as AddressInfo).port });
      });
    });
  }

  dispose(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeAllConnections();
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const reply = await this.createReply(request).catch((error: unknown) =>
      createJsonReply(500, { error: String(error) }),
    );
    response.writeHead(reply.status, { "content-type": reply.type });
    response.end(reply.body);
  }

  private async createReply(request: IncomingMessage): Promise<Reply> {
    const { metrics } = this.options;
    switch (`${request.method ?? ""} ${request.url ?? ""}`) {
      case "GET /metrics":
        return { status: 200, type: metrics.contentType, body: await metrics.render() };
      case "GET /health":
        return createJsonReply(200, { status: "alive", ...this.options.getSummary?.() });
      case "GET /ready":
        return this.createReadinessReply();
      case "GET /report":
        return createJsonReply(200, await this.options.getReport());
      case "GET /configuration":
        return this.createConfigurationReply();
      case "POST /drain":
        if (this.options.startDrain === undefined)
          return createJsonReply(404, { error: "this process can't be drained over HTTP" });
        this.options.startDrain();
        return createJsonReply(202, { status: "draining" });
      default:
        return createJsonReply(404, { error: "no such page" });
    }
  }

  private createConfigurationReply(): Reply {
    const configuration = this.options.getConfiguration?.();
    if (configuration === undefined)
      return createJsonReply(404, { error: "no configuration is known" });
    return createJsonReply(200, configuration);
  }

  private createReadinessReply(): Reply {
    const { isConfigurationKnown, isLeaving } = this.options.getState();
    const reasons = [
      ...(isConfigurationKnown ? [] : ["no configuration is known"]),
      ...(isLeaving ? ["leaving"] : []),
    ];
    return reasons.length === 0
      ? createJsonReply(200, { status: "ready" })
      : createJsonReply(503, { status: "not ready", reasons });
  }
}

function createJsonReply(status: number, body: Json): Reply {
  return { status, type: "application/json", body: `${JSON.stringify(body)}\n` };
}
