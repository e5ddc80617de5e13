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

/** What a `RemoteGateway` is built from. */
export interface RemoteGatewayOptions extends Omit<StreamOptions, "connectMs" | "onHello"> {
  readonly connections: PeerConnections;
  /** The VM that owns a group now; never this one. */
  readonly findOwner: (group: string) => Vm | undefined;
  readonly onHello?: StreamOptions["onHello"];
  readonly connectMs?: number;
  /** Hears of each VM whose connection broke under a request or could not be opened. */
  readonly onConnectionFailure?: (vm: Vm) => void;
  /** When to come back where no owner can be reached: about when the next is known. */
  readonly retryAfterMs?: number;
}

const defaultConnectMs = 1000;
const defaultRetryAfterMs = 500;

/** Opens conversations with groups that other processes own. */
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
      take: (vm) => this.pool.acquire(vm),
      give: (stream) => this.pool.release(stream),
      renew: (vm) => connections.replace(vm.peer),
      onBroken: (vm) => this.options.onConnectionFailure?.(vm),
      retryAfterMs: this.retryAfterMs,
    });
  }
}

interface ConversationOptions {
  readonly findOwner: () => Vm | undefined;
  readonly take: (vm: Vm) => Promise<ClientStream>;
  readonly give: (stream: ClientStream) => void;
  readonly renew: (vm: Vm) => void;
  readonly onBroken: (vm: Vm) => void;
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
    if (this.isClosed) return this.refuse("the conversation has ended");
    const opens = this.stream === undefined;
    const batch = { request, messages, opens, redirected: false };
    if (this.stream !== undefined) {
      return this.finish(await this.stream.run(batch, sink, signal));
    }
    const owner = this.options.findOwner();
    if (owner === undefined) return this.refuse("the group's owner is not known");
    const first = await this.send(owner, batch, sink, signal);
    const isMoved = first.type === "redirect" && first.owner !== undefined;
    if (!isMoved) return this.finish(first);
    // Once only: two processes that each take the other for the owner would pass it on for ever.
    const again = { ...batch, redirected: true };
    return this.finish(await this.send(first.owner, again, sink, signal));
  }

  close(): void {
    this.isClosed = true;
    this.stream?.close();
  }

  private end(): void {
    this.isClosed = true;
    if (this.stream !== undefined) this.options.give(this.stream);
    this.stream = undefined;
  }

  private async send(
    owner: Vm,
    ...[batch, sink, signal]: Parameters<ClientStream["run"]>
  ): Promise<BatchResult> {
    if (this.stream !== undefined) this.options.give(this.stream);
    this.stream = await this.options.take(owner);
    const result = await this.stream.run(batch, sink, signal);
    if (result.type === "broken" && !signal.aborted) {
      this.options.onBroken(owner);
      if (!result.isSent) this.options.renew(owner);
    }
    return result;
  }

  private finish(result: BatchResult): Outcome {
    switch (result.type) {
      case "outcome":
        if (result.outcome.type === "failed" || result.outcome.status === "I") this.end();
        return result.outcome;
      case "redirect":
        this.end();
        return this.refuse("no process serves the group now");
      case "broken":
        this.close();
        return result.isSent ? describeBroken(result.reason) : this.refuse(result.reason);
    }
  }

  private refuse(message: string): Outcome {
    const { retryAfterMs } = this.options;
    const verdict = { type: "notRun", reason: "noOwner", retryAfterMs } as const;
    return { type: "failed", verdict, message };
  }
}

function describeBroken(reason: string): Outcome {
  return {
    type: "failed",
    verdict: { type: "mayHaveRun", reason },
    message: "the connection to the group's owner broke while the request was under way",
  };
}
