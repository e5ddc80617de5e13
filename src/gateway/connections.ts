import type { Proxy } from "../leadership/index.js";
import { gatewayEvents } from "../log/events/gateway.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable } from "../model/index.js";
import { recordGatewayFailure, type GatewayHealth } from "./health.js";
import { GatewayConnection } from "./connection.js";

/** What connections to gateways need. */
export interface GatewayConnectionsPorts {
  readonly clock: Pick<Clock, "now">;
  readonly logger: Logger;
}

/** This process's connections to gateways, one to each that is in use, and what it has seen of them. */
export class GatewayConnections implements Disposable {
  private readonly links = new Map<string, GatewayConnection>();
  private readonly health = new Map<string, GatewayHealth>();

  constructor(private readonly ports: GatewayConnectionsPorts) {}

  /** The connection to a gateway, opened with its first use. */
  open({ vm, gateway }: Proxy): GatewayConnection | undefined {
    if (gateway === undefined) return undefined;
    const key = `${vm} ${gateway.host}:${gateway.port}`;
    const known = this.links.get(key);
    if (known?.isOpen === true) return known;
    const link: GatewayConnection = new GatewayConnection(gateway, (reason) => {
      if (this.links.get(key) === link) this.links.delete(key);
      this.recordFailure(vm, reason);
    });
    this.links.set(key, link);
    return link;
  }

  /** Notes that a gateway failed or turned a statement away: others go first for a while. */
  recordFailure(vm: string, reason: string): void {
    this.ports.logger.write(gatewayEvents.passedOver, { gateway: vm, reason });
    this.health.set(vm, recordGatewayFailure(this.health.get(vm), this.ports.clock.now()));
  }

  /** Notes that a gateway answered. */
  recordAnswer(vm: string): void {
    this.health.delete(vm);
  }

  /** Whether others are asked before this gateway. */
  isAvoided(vm: string): boolean {
    const until = this.health.get(vm)?.avoidUntil;
    return until !== undefined && this.ports.clock.now() < until;
  }

  dispose(): void {
    for (const link of [...this.links.values()]) link.close();
    this.links.clear();
  }
}
