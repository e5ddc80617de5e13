import { Ticker } from "../capacity/index.js";
import type { Disposable } from "../model/index.js";
import type { GatewayConnections } from "./connections.js";
import type { GatewayRouter } from "./router.js";
import { gatewayCheckIntervalMs, GatewayWatch } from "./watch.js";

/** The environment of `SlotTakeover`. */
export interface SlotTakeoverPorts {
  readonly connections: GatewayConnections;
  readonly getRouter: () => GatewayRouter;
  readonly listGroups: () => readonly string[];
  /** Called after each check, to apply the shares of slots that follow from it. */
  readonly onChecked: () => void;
}

/** Notices that the gateway is lost which uses the slots of a target, so that the next one takes over. */
export class SlotTakeover implements Disposable {
  private readonly watch: GatewayWatch;
  private readonly ticker = new Ticker(() => this.check(), gatewayCheckIntervalMs);

  constructor(private readonly ports: SlotTakeoverPorts) {
    const { connections } = ports;
    this.watch = new GatewayWatch({
      open: (proxy) => connections.open(proxy),
      onAnswer: (vm) => connections.recordAnswer(vm),
    });
  }

  /** Starts or stops the checks, as slots are planned or not. */
  setRunning(isRunning: boolean): void {
    this.ticker.setRunning(isRunning);
    if (!isRunning) this.watch.check([]);
  }

  /**
   * Whether a gateway is lost as far as this process knows. One that answers the checks and refuses single
   * statements is not: its slots would change hands with each of them. It is lost once it refuses repeatedly,
   * as one of an earlier build does while it leaves.
   */
  isLost(vm: string): boolean {
    const { connections } = this.ports;
    if (!this.watch.isWatched(vm)) return connections.isAvoided(vm);
    return this.watch.isLost(vm) || connections.isFailing(vm);
  }

  dispose(): void {
    this.ticker.dispose();
  }

  private check(): void {
    const router = this.ports.getRouter();
    const watched = this.ports.listGroups().flatMap((group) => router.listWatched(group));
    this.watch.check([...new Map(watched.map((proxy) => [proxy.vm, proxy])).values()]);
    this.ports.onChecked();
  }
}
