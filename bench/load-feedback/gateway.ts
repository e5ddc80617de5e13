import {
  applyAdmission,
  createAdmission,
  previewRequest,
  type Admission,
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionRequest,
} from "../../src/controller/admission/index.js";
import { encodeLoad } from "../../src/gateway/load-codec.js";
import {
  computeFigures,
  listStatementKinds,
  makeKindRequest,
  type LoadRole,
} from "../../src/gateway/load-figures.js";
import { chooseReportRole, type SentTimes } from "../../src/gateway/load-report.js";
import type { GatewayLoad } from "../../src/peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { primaryTarget, replicaTargets } from "../levels/workload.js";
import { config, group } from "./deployment.js";

/** What a gateway does with a request. */
export interface GatewayHandlers {
  readonly onEffect: (gateway: BenchGateway, effect: AdmissionEffect) => void;
}

const kinds = listStatementKinds(config, group);

/** One gateway of the group: its real admission queue, and its reports to each node. */
export class BenchGateway {
  /** Statements that it started. */
  startCount = 0;
  /** The sum of the waits of the started statements. */
  waitedMs = 0;
  reportCount = 0;
  private admission: Admission = createAdmission();
  private readonly sent = new Map<number, SentTimes>();

  constructor(
    readonly vm: string,
    slots: Readonly<Record<string, number>>,
    private readonly handlers: GatewayHandlers,
  ) {
    for (const target of [primaryTarget, ...replicaTargets]) {
      const role = target === primaryTarget ? "primary" : "replica";
      this.apply({ type: "resize", at: 0, target, role, slots: slots[target] ?? 1 });
    }
  }

  apply(event: AdmissionEvent): void {
    const result = applyAdmission(this.admission, event);
    if (result.type === "failed") throw new Error(result.failure);
    this.admission = result.state;
    for (const effect of result.effects) this.handlers.onEffect(this, effect);
  }

  /** Whether the queue would admit a request that arrived now. */
  wouldAdmit(request: Omit<AdmissionRequest, "id">, now: number): boolean {
    return previewRequest(this.admission, request, now).isAdmitted;
  }

  /** The report that goes with an answer to a node. */
  findReport(node: number, concerned: LoadRole, isRefusal: boolean, now: number) {
    const sent = this.sent.get(node) ?? {};
    const role = chooseReportRole(sent, concerned, isRefusal, now);
    if (role === undefined) return undefined;
    this.sent.set(node, { ...sent, [role]: now });
    this.reportCount += 1;
    return this.describe(role, now);
  }

  private describe(role: LoadRole, now: number): GatewayLoad | undefined {
    const names = role === "primary" ? [primaryTarget] : replicaTargets;
    const own = kinds.filter(({ usesReplicas }) => role === "primary" || usesReplicas);
    const figures = computeFigures(own, (kind) =>
      previewRequest(this.admission, makeKindRequest(kind, names, now), now),
    );
    return figures === undefined ? undefined : encodeLoad({ ...figures, group, role, ageMs: 0 });
  }
}
