import {
  applyAdmission,
  createAdmission,
  type Admission,
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionRequest,
  type AdmissionSettings,
} from "../../src/controller/admission/index.js";
import { getEntry } from "../../src/controller/admission/tree.js";
import { priorities } from "../../src/model/index.js";

export const strictPriority: Partial<AdmissionSettings> = {
  guaranteedShare: { critical: 1, normal: 0, browsing: 0, trial: 0 },
};

export const request = (id: string, rest: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
  id,
  team: "cello",
  plan: rest.priority === "trial" ? "trial" : "paying",
  priority: "normal",
  candidates: ["p"],
  deadlineAt: 1e6,
  maxQueueMs: 1e6,
  ...rest,
});

/** Applies events to the admission queue of one group and collects the effects. */
export class AdmissionHarness {
  admission: Admission;
  at = 0;
  readonly effects: AdmissionEffect[] = [];

  constructor(settings: Partial<AdmissionSettings> = {}, slots = 1) {
    this.admission = createAdmission(settings);
    this.apply({ type: "resize", at: 0, target: "p", role: "primary", slots });
  }

  apply(event: AdmissionEvent): readonly AdmissionEffect[] {
    const result = applyAdmission(this.admission, event);
    if (result.type === "failed") throw new Error(result.failure);
    this.admission = result.state;
    this.effects.push(...result.effects);
    return result.effects;
  }

  resize(limits: { readonly slots: number; readonly connections?: number }) {
    return this.apply({ type: "resize", at: this.at, target: "p", role: "primary", ...limits });
  }

  isRunning(id: string): boolean {
    return getEntry(this.admission.running, id) !== undefined;
  }

  arrive(id: string, rest: Partial<AdmissionRequest> = {}) {
    return this.apply({ type: "arrive", at: this.at, request: request(id, rest) });
  }

  finish(id: string, afterMs = 5) {
    this.at += afterMs;
    return this.apply({ type: "finish", at: this.at, id });
  }

  /**
   * Finishes the running request `count` times, and returns the ids of the started requests in
   * order.
   */
  serve(count: number, whenStarted: (id: string) => void = () => undefined): readonly string[] {
    const order: string[] = [];
    let running = this.effects.flatMap((e) => (e.type === "start" ? e.id : [])).at(-1);
    while (running !== undefined && order.length < count) {
      const started = this.finish(running).find((e) => e.type === "start");
      running = started?.id;
      if (running === undefined) break;
      order.push(running);
      whenStarted(running);
    }
    return order;
  }

  count(): number {
    return priorities.reduce((sum, p) => sum + this.admission.classes[p].size, 0);
  }
}
