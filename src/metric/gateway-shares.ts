import { Gauge, type Registry } from "prom-client";

/** The part of the reads of its groups that this node sends to a preferred gateway. */
export interface GatewayShareSample {
  readonly gateway: string;
  readonly share: number;
}

/** The gauge of the gateways' shares, which is read when the metrics are rendered. */
export class GatewayShareGauge {
  private read: () => readonly GatewayShareSample[] = () => [];

  constructor(registry: Registry) {
    const listSamples = () => this.read();
    new Gauge({
      name: "radishwalk_gateway_share",
      help: "Part of this node's reads that a preferred gateway is sent, the least one of its groups.",
      labelNames: ["gateway"],
      registers: [registry],
      collect() {
        this.reset();
        for (const { gateway, share } of listSamples()) this.set({ gateway }, share);
      },
    });
  }

  observe(read: () => readonly GatewayShareSample[]): void {
    this.read = read;
  }
}
