import type { Proxy } from "../leadership/index.js";
import type { GatewayConnection } from "./connection.js";

/** The interval between two checks of a gateway, in milliseconds. */
export const gatewayCheckIntervalMs = 100;
/**
 * Checks without an answer after which a gateway is lost: 0.3 s, a little longer than a busy process needs to
 * answer. Checks are counted, and not time, so that a pause of this process is no fault of the gateway.
 */
const maxUnansweredChecks = 3;
/** A lost gateway is asked again, or connected to again, at each fifth check. */
const askAgainChecks = 5;
/**
 * A connection without an answer for this many checks is closed, as its other end may be gone: 2 s. Before, it may
 * carry idle transactions, which the gateway itself ends after 1 s of silence.
 */
const closeChecks = 20;

/** How a `GatewayWatch` reaches gateways. */
export interface GatewayWatchPorts {
  readonly open: (
    proxy: Proxy,
  ) =>
    Pick<GatewayConnection, "receivedCount" | "isServing" | "ping" | "closeIfUnused"> | undefined;
  /** Called when a lost gateway answers again. */
  readonly onAnswer: (vm: string) => void;
}

interface WatchedGateway {
  readonly connection: ReturnType<GatewayWatchPorts["open"]>;
  readonly isLost: boolean;
  /** What had been received on the connection when it was last asked. */
  readonly receivedCount: number;
  readonly unansweredChecks: number;
}

/** Watches gateways whose slots this process takes over when they are lost. */
export class GatewayWatch {
  private watched: ReadonlyMap<string, WatchedGateway> = new Map();

  constructor(private readonly ports: GatewayWatchPorts) {}

  /**
   * Whether a watched gateway does not answer or runs no new statements, or its connection ended and no new one
   * came about yet.
   */
  isLost(vm: string): boolean {
    return this.watched.get(vm)?.isLost === true;
  }

  /** Whether this gateway was among those of the last check. */
  isWatched(vm: string): boolean {
    return this.watched.has(vm);
  }

  /** Checks these gateways and forgets all others. Call it at the check interval. */
  check(proxies: readonly Proxy[]): void {
    this.watched = new Map(
      proxies.map((proxy) => [proxy.vm, this.checkGateway(proxy, this.watched.get(proxy.vm))]),
    );
  }

  private checkGateway(proxy: Proxy, known: WatchedGateway | undefined): WatchedGateway {
    if (known === undefined) return this.ask(this.ports.open(proxy), false, 0);
    const receivedCount = known.connection?.receivedCount ?? 0;
    if (receivedCount > known.receivedCount) {
      const answering = this.ports.open(proxy);
      const isLost = answering !== known.connection || answering?.isServing !== true;
      if (known.isLost && !isLost) this.ports.onAnswer(proxy.vm);
      return this.ask(answering, isLost, 0);
    }
    const unansweredChecks = known.unansweredChecks + 1;
    if (known.isLost && unansweredChecks % askAgainChecks !== 0) {
      return { ...known, unansweredChecks };
    }
    const connection = this.ports.open(proxy);
    const hasEnded = connection !== known.connection;
    const isLost = known.isLost || hasEnded || unansweredChecks >= maxUnansweredChecks;
    if (!hasEnded && !known.isLost) return { ...known, isLost, unansweredChecks };
    if (!hasEnded && unansweredChecks % closeChecks === 0) {
      connection?.closeIfUnused();
      return { ...known, unansweredChecks };
    }
    return this.ask(connection, isLost, unansweredChecks);
  }

  /** Asks a gateway for a sign of life. */
  private ask(
    connection: WatchedGateway["connection"],
    isLost: boolean,
    unansweredChecks: number,
  ): WatchedGateway {
    connection?.ping();
    return { connection, isLost, receivedCount: connection?.receivedCount ?? 0, unansweredChecks };
  }
}
