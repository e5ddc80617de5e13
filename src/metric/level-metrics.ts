import { Counter, Histogram, type Registry } from "prom-client";
import { LabelLimiter } from "./label-limiter.js";

const maxGroupLabels = 200;
const maxLevelLabels = 20;
const waitBucketsSeconds = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10];

/** The end of a statement's wait for a slot at its gateway. */
export interface AdmissionSample {
  readonly group: string;
  readonly level: number;
  readonly waitMs: number;
  /** Why it was refused; absent if it got a slot. */
  readonly refusedFor?: string;
}

/** The metrics of statements that the configuration gives a level. They have no values without levels. */
export class LevelMetrics {
  private readonly groupLabels = new LabelLimiter(maxGroupLabels);
  private readonly levelLabels = new LabelLimiter(maxLevelLabels);
  private readonly waits: Histogram<"group" | "level">;
  private readonly refusals: Counter<"group" | "level" | "reason">;
  private readonly missed: Counter<"group" | "level">;
  private readonly entryRefusals: Counter<"group" | "level">;

  constructor(registry: Registry) {
    const registers = [registry];
    this.waits = new Histogram({
      name: "radishwalk_admission_wait_seconds",
      help: "Time that statements of a level waited for a slot at their gateway.",
      labelNames: ["group", "level"],
      buckets: waitBucketsSeconds,
      registers,
    });
    this.refusals = new Counter({
      name: "radishwalk_admission_refused_total",
      help: "Statements of a level that their gateway refused a slot, by reason.",
      labelNames: ["group", "level", "reason"],
      registers,
    });
    this.missed = new Counter({
      name: "radishwalk_objective_missed_total",
      help: "Statements of a level that were answered after the end of their objective.",
      labelNames: ["group", "level"],
      registers,
    });
    this.entryRefusals = new Counter({
      name: "radishwalk_entry_refused_total",
      help: "Statements that this node refused, as all gateways of their group refuse their level.",
      labelNames: ["group", "level"],
      registers,
    });
  }

  /** Records a statement that was refused by the gateways' load reports, without being sent to one. */
  recordEntryRefusal(group: string, level: number): void {
    this.entryRefusals.inc(this.toLabels(group, level));
  }

  /** Records the end of a statement's wait for a slot. */
  recordAdmission({ group, level, waitMs, refusedFor }: AdmissionSample): void {
    const labels = this.toLabels(group, level);
    if (refusedFor === undefined) this.waits.observe(labels, waitMs / 1000);
    else this.refusals.inc({ ...labels, reason: refusedFor });
  }

  /** Records a statement that was answered after the end of its objective. */
  recordObjectiveMissed(group: string, level: number): void {
    this.missed.inc(this.toLabels(group, level));
  }

  private toLabels(group: string, level: number) {
    return {
      group: this.groupLabels.toLabelValue(group),
      level: this.levelLabels.toLabelValue(String(level)),
    };
  }
}
