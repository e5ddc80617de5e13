import { Ticker } from "../capacity/index.js";
import { applySharedPositions, type GroupDirectory } from "../direct/index.js";
import { gatewayEvents } from "../log/events/gateway.js";
import type { Logger } from "../log/index.js";
import type { Disposable } from "../model/index.js";
import type { GatewayConnections } from "./connections.js";
import { decodePositions } from "./position-codec.js";
import type { GatewayRouter } from "./router.js";

/** The shortest time between two requests for the positions of a group, in milliseconds. */
const positionsIntervalMs = 100;
/** A gateway that does not answer within this time, in milliseconds, is of a build that does not know the request. */
const positionsTimeoutMs = 500;

/** The environment of `PositionWatch`. */
export interface PositionWatchPorts {
  readonly connections: Pick<GatewayConnections, "open">;
  readonly getRouter: () => Pick<GatewayRouter, "findPrimaryGateway">;
  readonly listGroups: () => readonly string[];
  readonly getGroups: () => GroupDirectory | undefined;
  readonly logger: Logger;
}

/** Asks the primaries' gateways for positions while reads require them here. */
export class PositionWatch implements Disposable {
  private readonly ticker = new Ticker(() => this.check(), positionsIntervalMs);
  private readonly asking = new Set<string>();
  /** The gateways that have sent invalid positions. */
  private readonly reported = new Set<string>();

  constructor(private readonly ports: PositionWatchPorts) {}

  /** Starts or stops asking, as slots are planned or not. */
  setRunning(isRunning: boolean): void {
    this.ticker.setRunning(isRunning);
  }

  /** Asks for the positions of each group that reads require, unless an answer is still due. */
  check(): void {
    for (const group of this.ports.listGroups()) {
      if (this.asking.has(group)) continue;
      this.asking.add(group);
      void this.ask(group).finally(() => this.asking.delete(group));
    }
  }

  dispose(): void {
    this.ticker.dispose();
  }

  private async ask(name: string): Promise<void> {
    const group = this.ports.getGroups()?.find(name);
    if (group?.isSlotPlanned !== true || !group.positions.isRequired) return;
    const gateway = this.ports.getRouter().findPrimaryGateway(name);
    const connection = gateway && this.ports.connections.open(gateway);
    if (gateway === undefined || connection === undefined) return;
    const request = group.positions.startRequest();
    const answer = await connection.requestPositions(name, positionsTimeoutMs);
    if (answer === undefined) return;
    const { positions, invalid } = decodePositions(answer);
    if (invalid !== undefined) this.reportInvalid(gateway.vm, name, invalid);
    applySharedPositions(group, positions, request);
  }

  private reportInvalid(gateway: string, group: string, value: string): void {
    if (this.reported.has(gateway)) return;
    this.reported.add(gateway);
    this.ports.logger.write(gatewayEvents.positionsInvalid, { gateway, group, value });
  }
}
