import type {
  Conversation,
  GroupGateway,
  MessageSink,
  Outcome,
  Request,
  Vm,
} from "../model/index.js";
import type { ClientStream, StreamOptions, BatchResult } from "./client-stream.js";
import type { PeerConnections } from "./connections.js";
import { StreamPool } from "./stream-pool.js";

/** Options of a `RemoteGateway`. */
export interface RemoteGatewayOptions extends Omit<StreamOptions, "connectMs" | "onHello"> {
  readonly connections: PeerConnections;
  /** Returns the VM that owns a group now, never the local one; undefined when it is unknown. */
  readonly findOwner: (group: string) => Vm | undefined;
  readonly onHello?: StreamOptions["onHello"];
  /** Milliseconds; see `StreamOptions`. */
  readonly connectMs?: number;
  /** Called with each VM whose connection failed during a request or could not be opened. */
  readonly onConnectionFailure?: (vm: Vm) => void;
  /** When a caller may retry if no owner is reachable, in milliseconds: about when the next owner is known. */
  readonly retryAfterMs?: number;
}

const defaultConnectMs = 1000;
const defaultRetryAfterMs = 500;

/**
 * Opens conversations with groups that other processes own. A batch that had not been sent when the
 * connection failed is reported as not run; one that had been sent is reported as "may have run".
 */
export class RemoteGateway implements GroupGateway {
  private readonly pool: StreamPool;
  private readonly retryAfterMs: number;

  constructor(private readonly options: RemoteGatewayOptions) {
    const { clock, getHello, onHello = () => undefined } = options;
    const connectMs = options.connectMs ?? defaultConnectMs;
    this.pool = new StreamPool(options.connections, { clock, getHello, onHello, connectMs });
    this.retryAfterMs = options.retryAfterMs ?? defaultRetryAfterMs;
  }

  open(group: string): Conversation {
    const { connections, findOwner } = this.options;
    return new RemoteConversation({
      findOwner: () => findOwner(group),
      acquire: (vm) => this.pool.acquire(vm),
      release: (stream) => this.pool.release(stream),
      replaceConnection: (vm) => connections.replace(vm.peer),
      onConnectionFailure: (vm) => this.options.onConnectionFailure?.(vm),
      retryAfterMs: this.retryAfterMs,
    });
  }
}

interface ConversationOptions {
  readonly findOwner: () => Vm | undefined;
  readonly acquire: (vm: Vm) => Promise<ClientStream>;
  readonly release: (stream: ClientStream) => void;
  readonly replaceConnection: (vm: Vm) => void;
  readonly onConnectionFailure: (vm: Vm) => void;
  readonly retryAfterMs: number;
}

class RemoteConversation implements Conversation {
  private stream: ClientStream | undefined;
  private isClosed = false;

  constructor(private readonly options: ConversationOptions) {}

  async run(
    request: Request,
    messages: Uint8Array,
    sink: MessageSink,
    signal: AbortSignal,
  ): Promise<Outcome> {
    if (this.isClosed) return this.createRefusal("the conversation has been closed");
    const opens = this.stream === undefined;
    const batch = { request, messages, opens, redirected: false };
    if (this.stream !== undefined) {
      return this.handleResult(await this.stream.run(batch, sink, signal));
    }
    const owner = this.options.findOwner();
    if (owner === undefined) return this.createRefusal("the group's owner is unknown");
    const firstResult = await this.send(owner, batch, sink, signal);
    const isRedirected = firstResult.type === "redirect" && firstResult.owner !== undefined;
    if (!isRedirected) return this.handleResult(firstResult);
    // Follows one redirect only: two processes that each take the other for the owner would redirect
    // the request endlessly.
    const secondBatch = { ...batch, redirected: true };
    return this.handleResult(await this.send(firstResult.owner, secondBatch, sink, signal));
  }

  close(): void {
    this.isClosed = true;
    this.stream?.close();
  }

  private releaseStream(): void {
    this.isClosed = true;
    if (this.stream !== undefined) this.options.release(this.stream);
    this.stream = undefined;
  }

  private async send(
    owner: Vm,
    ...[batch, sink, signal]: Parameters<ClientStream["run"]>
  ): Promise<BatchResult> {
    if (this.stream !== undefined) this.options.release(this.stream);
    this.stream = await this.options.acquire(owner);
    const result = await this.stream.run(batch, sink, signal);
    if (result.type === "broken" && !signal.aborted) {
      this.options.onConnectionFailure(owner);
      if (!result.isSent) this.options.replaceConnection(owner);
    }
    return result;
  }

  private handleResult(result: BatchResult): Outcome {
    switch (result.type) {
      case "outcome":
        if (result.outcome.type === "failed" || result.outcome.status === "I") this.releaseStream();
        return result.outcome;
      case "redirect":
        this.releaseStream();
        return this.createRefusal("no process serves the group at present");
      case "broken":
        this.close();
        return result.isSent
          ? createUncertainOutcome(result.reason)
          : this.createRefusal(result.reason);
    }
  }

  private createRefusal(message: string): Outcome {
    const { retryAfterMs } = this.options;
    const verdict = { type: "notRun", reason: "noOwner", retryAfterMs } as const;
    return { type: "failed", verdict, message };
  }
}

function createUncertainOutcome(reason: string): Outcome {
  return {
    type: "failed",
    verdict: { type: "mayHaveRun", reason },
    message: "the connection to the group's owner failed while the request was in progress",
  };
}
