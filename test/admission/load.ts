import {
  applyAdmission,
  countFreeSlots,
  createAdmission,
  type Admission,
  type AdmissionEvent,
  type AdmissionRequest,
} from "../../src/controller/admission/index.js";
import { request } from "./builders.js";

/** One statement of a load. Times are in milliseconds. */
export interface Arrival {
  readonly at: number;
  readonly level: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly serviceMs: number;
  readonly rest?: Partial<AdmissionRequest>;
}

/** What a caller got, and how long after the arrival. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly type: "answered" | "refused";
  readonly afterMs: number;
  readonly retryAfterMs: number;
  /** The slots of the candidates that were free when it was refused. */
  readonly freeSlots: number;
}

const tickMs = 50;

/** Repeats a statement at a fixed interval. */
export function repeat(
  arrival: Omit<Arrival, "at">,
  {
    from,
    until,
    everyMs,
  }: { readonly from: number; readonly until: number; readonly everyMs: number },
): readonly Arrival[] {
  const count = Math.ceil((until - from) / everyMs);
  return Array.from({ length: count }, (_, i) => ({ ...arrival, at: from + i * everyMs }));
}

/** Plays a load on an admission queue whose primary `p` has so many slots, and returns what callers get. */
export function playLoad(arrivals: readonly Arrival[], slots: number): readonly Outcome[] {
  let admission: Admission = createAdmission();
  const outcomes: Outcome[] = [];
  const pending = new Map<string, Arrival>();
  const events: { readonly at: number; readonly run: () => void }[] = [];
  const schedule = (at: number, run: () => void) => {
    let index = events.length;
    while (index > 0 && (events[index - 1]?.at ?? 0) > at) index -= 1;
    events.splice(index, 0, { at, run });
  };
  const end = (id: string, at: number, type: Outcome["type"], retryAfterMs = 0) => {
    const arrival = pending.get(id);
    if (arrival === undefined) throw new Error(`${id} ended twice`);
    pending.delete(id);
    const freeSlots = countFreeSlots(admission, "p");
    outcomes.push({ arrival, type, afterMs: at - arrival.at, retryAfterMs, freeSlots });
  };
  const apply = (event: AdmissionEvent) => {
    const result = applyAdmission(admission, event);
    if (result.type === "failed") throw new Error(result.failure);
    admission = result.state;
    for (const effect of result.effects) {
      const { id } = effect;
      if (effect.type === "refuse") {
        end(id, event.at, "refused", effect.retryAfterMs);
        continue;
      }
      const endAt = event.at + (pending.get(id)?.serviceMs ?? 0);
      schedule(endAt, () => {
        end(id, endAt, "answered");
        apply({ type: "finish", at: endAt, id });
      });
    }
  };
  apply({ type: "resize", at: 0, target: "p", role: "primary", slots });
  [...arrivals]
    .sort((a, b) => a.at - b.at)
    .forEach((arrival, i) => {
      const { at, level, objectiveMs, deadlineMs, rest } = arrival;
      const times = { objectiveAt: at + objectiveMs, deadlineAt: at + deadlineMs };
      const fields = { level, ...times, maxQueueMs: deadlineMs, ...rest };
      const id = `q${i}`;
      schedule(at, () => {
        pending.set(id, arrival);
        apply({ type: "arrive", at, request: request(id, fields) });
      });
    });
  const lastAt = Math.max(...arrivals.map(({ at, deadlineMs }) => at + deadlineMs));
  for (let at = tickMs; at < lastAt; at += tickMs) schedule(at, () => apply({ type: "tick", at }));
  for (let next = events.shift(); next !== undefined; next = events.shift()) next.run();
  if (pending.size > 0) throw new Error(`${pending.size} callers got nothing`);
  return outcomes;
}

/** The share of the statements that were answered within their objectives. */
export function computeWithin(outcomes: readonly Outcome[]): number {
  const within = outcomes.filter(
    ({ type, afterMs, arrival }) => type === "answered" && afterMs <= arrival.objectiveMs,
  );
  return within.length / outcomes.length;
}

/** The lowest such share in any window of arrivals. */
export function findWorstWindow(outcomes: readonly Outcome[], windowMs: number): number {
  const indices = new Set(outcomes.map(({ arrival }) => Math.floor(arrival.at / windowMs)));
  const shares = [...indices].map((index) =>
    computeWithin(outcomes.filter(({ arrival }) => Math.floor(arrival.at / windowMs) === index)),
  );
  return Math.min(...shares);
}
