import type { AdmissionRequest, RequestPreview } from "../controller/admission/index.js";
import type { CandidateTarget, PrimaryState, ServingConfig } from "../direct/index.js";
import { priorities, type Priority, type ServeAction } from "../model/index.js";

/** The targets that a load report is about: the primary, or all that serve reads which need no primary. */
export type LoadRole = "primary" | "replica";

/** How long new statements wait at a gateway, and which levels it refuses. */
export interface LoadFigures {
  /** The estimated wait of a new statement at the most important level. */
  readonly waitMs: number;
  /** The least important level that is admitted; absent where all are. */
  readonly lowestLevel?: number;
}

/** A kind of statement in a group's routes, with the limits that decide about its admission. */
export interface StatementKind {
  readonly level: number | undefined;
  readonly priority: Priority;
  readonly objectiveMs: number | undefined;
  readonly deadlineMs: number;
  readonly maxQueueMs: number;
  /** Whether replicas may serve its reads. */
  readonly usesReplicas: boolean;
}

/** The targets whose load is reported. */
export type ReportTargets =
  | { readonly type: "targets"; readonly names: readonly string[] }
  /** Nothing can be said: the primary is being changed or does not answer, or no replica can be read. */
  | { readonly type: "unknown" };

/** The longest wait that is reported, in milliseconds. It stands for all longer ones and for an unknown one. */
export const maxReportedWaitMs = 60_000;

/**
 * A level counts as refused only if it would be with this much longer limits, in milliseconds: the queue drains
 * while the figures are on their way, and a node must not refuse what its gateway would admit again.
 */
const closingMarginMs = 20;

/** Lists the kinds of statements of a group, each once. */
export function listStatementKinds(
  { databases }: Pick<ServingConfig, "databases">,
  group: string,
): readonly StatementKind[] {
  const kinds = new Map<string, StatementKind>();
  for (const database of databases.values()) {
    if (database.group !== group) continue;
    const kind = toKind(database.action);
    kinds.set(Object.values(kind).join(" "), kind);
  }
  return [...kinds.values()];
}

/**
 * Chooses the targets whose load a report tells. A read also uses the primary while that is near and idle, and
 * needs it while no replica can be read. Nothing is reported then: the queue of the replicas says nothing about the
 * read, and a wait of 0 would attract the reads of all nodes to a gateway that redirects them.
 */
export function chooseReportTargets(
  role: LoadRole,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
): ReportTargets {
  const primaryName = primary.type === "serving" ? primary.target : undefined;
  const own = candidates.find(({ name }) => name === primaryName);
  if (role === "primary") {
    const isUsable = own !== undefined && isAnswering(own, now);
    return isUsable ? { type: "targets", names: [own.name] } : { type: "unknown" };
  }
  const replicas = candidates.filter((v) => v.name !== primaryName && isReadable(v, now));
  if (replicas.length === 0) return { type: "unknown" };
  const isPrimaryUsed = own !== undefined && mayServeReads(own, candidates, now);
  const names = [...replicas, ...(isPrimaryUsed ? [own] : [])].map(({ name }) => name);
  return { type: "targets", names };
}

/** Computes the figures of a report from what would become of each kind of statement; undefined without kinds. */
export function computeFigures(
  kinds: readonly StatementKind[],
  preview: (kind: StatementKind) => RequestPreview,
): LoadFigures | undefined {
  const ranked = [...kinds].sort((a, b) => rankKind(a) - rankKind(b));
  const first = ranked[0];
  if (first === undefined) return undefined;
  const results = ranked.map((kind) => ({ kind, ...preview(kind) }));
  const important = results.filter(({ kind }) => rankKind(kind) === rankKind(first));
  const waitMs = Math.min(maxReportedWaitMs, ...important.map((result) => result.waitMs));
  const leveled = results.filter(({ kind }) => kind.level !== undefined);
  const levels = leveled.map(({ kind }) => kind.level ?? 0);
  const admitted = leveled.filter((r) => r.isAdmitted).map(({ kind }) => kind.level ?? 0);
  const lowestLevel = admitted.length === 0 ? Math.min(...levels) : Math.max(...admitted);
  const isAllAdmitted = levels.length === 0 || lowestLevel === Math.max(...levels);
  return isAllAdmitted ? { waitMs } : { waitMs, lowestLevel };
}

/**
 * The request of a kind's statement that arrives now. Its team is one without waiting statements, and it has all
 * of its time: a gateway that refuses this request refuses every statement of the kind.
 */
export function makeKindRequest(
  { level, priority, objectiveMs, deadlineMs, maxQueueMs }: StatementKind,
  candidates: readonly string[],
  now: number,
): Omit<AdmissionRequest, "id"> {
  const limitsFrom = now + closingMarginMs;
  const objective = { level, objectiveAt: limitsFrom + (objectiveMs ?? deadlineMs) };
  return {
    team: "",
    plan: "paying",
    priority,
    ...(level === undefined ? {} : { ...objective, level }),
    candidates,
    deadlineAt: limitsFrom + deadlineMs,
    maxQueueMs: maxQueueMs + closingMarginMs,
  };
}

function toKind(action: ServeAction): StatementKind {
  const { level, priority, objectiveMs, deadlineMs, maxQueueMs, route } = action;
  const usesReplicas = route.type !== "primary";
  return { level, priority, objectiveMs, deadlineMs, maxQueueMs, usesReplicas };
}

/** The place of a kind by importance; kinds without a level follow those of levels. */
function rankKind({ level, priority }: StatementKind): number {
  return level ?? Number.MAX_SAFE_INTEGER - priorities.length + priorities.indexOf(priority);
}

/**
 * Whether statements wait for a target's slots. While it does not answer, all but one are refused before they wait,
 * and its empty queue says nothing.
 */
function isAnswering({ isLeaving, slots, occupiedSlots, health }: CandidateTarget, now: number) {
  const isProbed = health.failures > 0 && occupiedSlots > 0;
  return !isLeaving && slots > 0 && now >= health.avoidUntil && !isProbed;
}

function isReadable(replica: CandidateTarget, now: number): boolean {
  return isAnswering(replica, now) && now >= replica.health.laggingUntil;
}

/** Whether reads are placed at the primary although replicas can be read: in its data centre, or in its region. */
function mayServeReads(
  primary: CandidateTarget,
  candidates: readonly CandidateTarget[],
  now: number,
): boolean {
  const { slots, occupiedSlots, isLocal, running, distance } = primary;
  if (!isAnswering(primary, now) || occupiedSlots >= slots) return false;
  if (candidates.some((v) => v.distance === "remote")) return distance !== "remote";
  return isLocal && running === 0;
}
