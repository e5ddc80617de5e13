import { Gauge, type Registry } from "prom-client";
import type { LabelLimiter } from "./label-limiter.js";
import type { SlotSample } from "./metrics.js";

/** The gauges of a gateway's slots, which are read when the metrics are rendered. */
export class SlotGauges {
  private read: () => readonly SlotSample[] = () => [];

  constructor(registry: Registry, groups: LabelLimiter) {
    const listSamples = () => this.read();
    const registers = [registry];
    new Gauge({
      name: "radishwalk_slots",
      help: "Slots of this process at targets, by state.",
      labelNames: ["group", "target", "state"],
      registers,
      collect() {
        this.reset();
        for (const { group, target, running, free } of listSamples()) {
          const labels = { group: groups.toLabelValue(group), target };
          this.set({ ...labels, state: "running" }, running);
          this.set({ ...labels, state: "free" }, free);
        }
      },
    });
    new Gauge({
      name: "radishwalk_transactions_idle",
      help: "Transactions that hold a connection and are idle between two statements.",
      labelNames: ["group"],
      registers,
      collect() {
        this.reset();
        for (const { group, idle } of listSamples())
          this.inc({ group: groups.toLabelValue(group) }, idle);
      },
    });
  }

  observe(read: () => readonly SlotSample[]): void {
    this.read = read;
  }
}
