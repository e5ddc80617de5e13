import type { Clock } from "../model/index.js";
import {
  healthyTarget,
  noteAnswer,
  noteFailure,
  noteLagging,
  noteSaturated,
  type TargetHealth,
} from "./health.js";

/** The health of a group's targets as this proxy has seen it. */
export class HealthTable {
  private readonly byTarget = new Map<string, TargetHealth>();

  constructor(private readonly clock: Pick<Clock, "now">) {}

  /** The health of a target; that of one without known problems if nothing was recorded. */
  find(target: string): TargetHealth {
    return this.byTarget.get(target) ?? healthyTarget;
  }

  noteAnswer(target: string): void {
    this.byTarget.set(target, noteAnswer(this.find(target)));
  }

  noteFailure(target: string): void {
    this.byTarget.set(target, noteFailure(this.find(target), this.clock.now()));
  }

  noteLagging(target: string): void {
    this.byTarget.set(target, noteLagging(this.find(target), this.clock.now()));
  }

  noteSaturated(target: string): void {
    this.byTarget.set(target, noteSaturated(this.find(target), this.clock.now()));
  }

  /** Discards what is known of a target whose process was replaced or that was removed. */
  forget(target: string): void {
    this.byTarget.delete(target);
  }
}
