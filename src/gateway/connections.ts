import type { Proxy } from "../leadership/index.js";
import { gatewayEvents } from "../log/events/gateway.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable } from "../model/index.js";
import { ResponseTimes } from "../system/index.js";
import type { SentRead } from "./gateway-shares.js";
import { recordGatewayFailure, type GatewayHealth } from "./health.js";
import { GatewayConnection } from "./connection.js";
import type { EntryLoads } from "./entry-loads.js";

/** The environment of `GatewayConnections`. */
export interface GatewayConnectionsPorts {
  readonly clock: Pick<Clock, "now">;
  readonly logger: Logger;
  /** Keeps the gateways' load reports. Absent: they are ignored. */
  readonly loads?: Pick<EntryLoads, "record" | "forget">;
  /** Called with the end of each read that was sent to a gateway. */
  readonly onRead?: (read: SentRead) => void;
}

/** This process's connections to gateways, one to each that is in use, with its recent failures. */
export class GatewayConnections implements Disposable {
  private readonly connections = new Map<string, GatewayConnection>();
  private readonly responseTimes: ResponseTimes;
  private readonly health = new Map<string, GatewayHealth>();
  /** By the name of a gateway. */
  private readonly dataCentres = new Map<string, string>();

  constructor(private readonly ports: GatewayConnectionsPorts) {
    this.responseTimes = new ResponseTimes(() => ports.clock.now());
  }

  /**
   * Returns the connection to a gateway, which is opened at its first use; undefined when the proxy takes no
   * statements of others.
   */
  open({ vm, gateway, dataCentre }: Proxy): GatewayConnection | undefined {
    if (gateway === undefined) return undefined;
    if (dataCentre !== undefined) this.dataCentres.set(vm, dataCentre);
    const key = `${vm} ${gateway.host}:${gateway.port}`;
    const known = this.connections.get(key);
    if (known?.isOpen === true) return known;
    const connection: GatewayConnection = new GatewayConnection(gateway, this.responseTimes, {
      onSlow: (reason) => this.recordFailure(vm, reason),
      onLoad: (load) => this.ports.loads?.record(vm, load),
      onEnd: (reason) => {
        if (this.connections.get(key) === connection) this.connections.delete(key);
        this.recordFailure(vm, reason);
      },
    });
    this.connections.set(key, connection);
    return connection;
  }

  /** The data centre of a gateway that has been used; undefined when its entry names none. */
  findDataCentre(vm: string): string | undefined {
    return this.dataCentres.get(vm);
  }

  /** Records that a gateway failed or refused a statement; others are preferred for a while. */
  recordFailure(vm: string, reason: string): void {
    this.ports.logger.write(gatewayEvents.avoided, { gateway: vm, reason });
    this.ports.loads?.forget(vm);
    this.health.set(vm, recordGatewayFailure(this.health.get(vm), this.ports.clock.now()));
  }

  /** Records that a gateway answered. */
  recordAnswer(vm: string): void {
    this.health.delete(vm);
  }

  /** The time by which response times of gateways are measured, in milliseconds. */
  now(): number {
    return this.ports.clock.now();
  }

  /** Records how a read that was sent to a gateway ended, and in what time. */
  recordRead(read: SentRead): void {
    this.ports.onRead?.(read);
  }

  /** Whether other gateways are preferred to this one. */
  isAvoided(vm: string): boolean {
    const until = this.health.get(vm)?.avoidUntil;
    return until !== undefined && this.ports.clock.now() < until;
  }

  /** Whether a gateway is avoided and has failed again since the first pause, without an answer in between. */
  isFailing(vm: string): boolean {
    return this.isAvoided(vm) && (this.health.get(vm)?.failures ?? 0) > 1;
  }

  dispose(): void {
    for (const connection of [...this.connections.values()]) connection.close();
    this.connections.clear();
  }
}
