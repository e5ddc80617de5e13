import type { Proxy } from "../leadership/index.js";
import type { GatewayConnection } from "./connection.js";

/** The interval between two checks of a gateway, in milliseconds. */
export const gatewayCheckIntervalMs = 100;
/**
 * Checks without an answer after which a gateway is lost: 0.3 s, a little longer than a busy process needs to
 * answer. Checks are counted, and not time, so that a pause of this process is no fault of the gateway.
 */
const maxUnansweredChecks = 3;
/** A lost gateway is connected to again at each fifth check. */
const reconnectChecks = 5;

/** How a `GatewayWatch` reaches gateways. */
export interface GatewayWatchPorts {
  readonly open: (
    proxy: Proxy,
  ) => Pick<GatewayConnection, "receivedCount" | "ping" | "closeIfUnused"> | undefined;
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

  /** Whether a watched gateway does not answer, or its connection ended and no new one came about yet. */
  isLost(vm: string): boolean {
    return this.watched.get(vm)?.isLost === true;
  }

  /** Checks these gateways and forgets all others. Call it at the check interval. */
  check(proxies: readonly Proxy[]): void {
    this.watched = new Map(
      proxies.map((proxy) => [proxy.vm, this.checkGateway(proxy, this.watched.get(proxy.vm))]),
    );
  }

  private checkGateway(proxy: Proxy, known: WatchedGateway | undefined): WatchedGateway {
    const unansweredChecks = (known?.unansweredChecks ?? 0) + 1;
    if (known?.isLost === true && unansweredChecks % reconnectChecks !== 0) {
      const hasAnswered = (known.connection?.receivedCount ?? 0) > known.receivedCount;
      if (!hasAnswered) return { ...known, unansweredChecks };
    }
    const connection = this.ports.open(proxy);
    if (known === undefined || known.connection !== connection) {
      connection?.ping();
      const isLost = known !== undefined;
      return { connection, isLost, receivedCount: 0, unansweredChecks: isLost ? 1 : 0 };
    }
    const receivedCount = connection?.receivedCount ?? 0;
    if (receivedCount > known.receivedCount) {
      if (known.isLost) this.ports.onAnswer(proxy.vm);
      connection?.ping();
      return { connection, isLost: false, receivedCount, unansweredChecks: 0 };
    }
    const isLost = known.isLost || unansweredChecks >= maxUnansweredChecks;
    // A connection whose other end is gone never answers; the next check opens another one.
    if (isLost) connection?.closeIfUnused();
    return { ...known, isLost, unansweredChecks };
  }
}
