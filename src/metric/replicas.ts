import { Counter, Gauge, type Registry } from "prom-client";
import type { LabelLimiter } from "./label-limiter.js";

/** The estimated replication delay of one replica. */
export interface ReplicaDelaySample {
  readonly group: string;
  readonly target: string;
  readonly delayMs: number;
}

/** The metrics of what this process knows of the positions of replicas. */
export class ReplicaMetrics {
  private readonly wrong: Counter<"group">;
  private read: () => readonly ReplicaDelaySample[] = () => [];

  constructor(
    registry: Registry,
    private readonly groups: LabelLimiter,
  ) {
    const listSamples = () => this.read();
    const registers = [registry];
    new Gauge({
      name: "radishwalk_replica_delay_seconds",
      help: "Estimated replication delay of a replica.",
      labelNames: ["group", "target"],
      registers,
      collect() {
        this.reset();
        for (const { group, target, delayMs } of listSamples())
          this.set({ group: groups.toLabelValue(group), target }, delayMs / 1000);
      },
    });
    this.wrong = new Counter({
      name: "radishwalk_reads_expected_wrong_total",
      help: "Reads whose replica had or lacked the required position contrary to the estimate.",
      labelNames: ["group"],
      registers,
    });
  }

  /** Sets where the delays are read whenever the metrics are rendered. */
  observe(read: () => readonly ReplicaDelaySample[]): void {
    this.read = read;
  }

  /** Counts a read whose replica had or lacked the required position contrary to the estimate. */
  recordExpectedWrong(group: string): void {
    this.wrong.inc({ group: this.groups.toLabelValue(group) });
  }
}
