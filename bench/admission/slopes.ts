import {
  applyAdmission,
  createAdmission,
  type Admission,
  type AdmissionEvent,
} from "../../src/controller/admission/index.js";
import { priorities } from "../../src/model/index.js";

/** What events and state cost at one size. */
export interface SlopeFigures {
  readonly waiting: number;
  readonly teams: number;
  readonly eventsPerSecond: number;
  readonly eventMicros: number;
  readonly tickMicros: number;
  /** 0 for short queues, and when the program runs without `--expose-gc`. */
  readonly bytesPerRequest: number;
}

const sizes = [
  [10, 5],
  [100, 5],
  [1000, 5],
  [4000, 5],
  [1000, 50],
  [1000, 500],
  [4000, 500],
] as const;
const rounds = 4000;
const ticks = 200;
const runs = 5;
/** Below this length the heap's own changes are larger than the state. */
const leastForBytes = 1000;

/** Measures events by length of the queue and number of teams: the median of some runs. */
export function measureSlopes(): readonly SlopeFigures[] {
  measureSlope(1000, 50);
  return sizes.map(([waiting, teams]) => {
    const measured = Array.from({ length: runs }, () => measureSlope(waiting, teams));
    const middle = (key: keyof SlopeFigures) =>
      measured.map((m) => m[key]).sort((a, b) => a - b)[(runs - 1) / 2] ?? 0;
    return {
      waiting,
      teams,
      eventsPerSecond: middle("eventsPerSecond"),
      eventMicros: middle("eventMicros"),
      tickMicros: middle("tickMicros"),
      bytesPerRequest: middle("bytesPerRequest"),
    };
  });
}

function measureSlope(waiting: number, teams: number): SlopeFigures {
  const bytes = measureBytes(waiting, teams);
  let state = fill(waiting, teams);
  let next = waiting + 3;
  let running = ["0", "1", "2"];
  let at = 1;
  const begun = process.hrtime.bigint();
  for (let i = 0; i < rounds; i++) {
    at += 0.1;
    state = apply(state, makeArrival(next++, teams, at)).state;
    const id = running[0] ?? "";
    const step = apply(state, { type: "finish", at, id });
    state = step.state;
    const started = step.effects.flatMap((e) => (e.type === "start" ? e.id : []));
    running = [...running.slice(1), ...started];
  }
  const eventMicros = micros(begun) / (2 * rounds);
  const tickBegun = process.hrtime.bigint();
  for (let i = 0; i < ticks; i++) state = apply(state, { type: "tick", at }).state;
  return {
    waiting,
    teams,
    eventsPerSecond: Math.round(1e6 / eventMicros),
    eventMicros: round(eventMicros),
    tickMicros: round(micros(tickBegun) / ticks),
    bytesPerRequest: Math.round(bytes / waiting),
  };
}

/** What is freed when the state goes: heaps change for other reasons too, so that both are near. */
function measureBytes(waiting: number, teams: number): number {
  if (globalThis.gc === undefined || waiting < leastForBytes) return 0;
  const holder: { state: Admission | undefined } = { state: fill(waiting, teams) };
  collect();
  const held = process.memoryUsage().heapUsed;
  holder.state = undefined;
  collect();
  return held - process.memoryUsage().heapUsed;
}

function fill(waiting: number, teams: number): Admission {
  let state = createAdmission({ maxWaiting: 1e6 });
  for (const target of ["p", "r1", "r2"]) {
    const role = target === "p" ? "primary" : "replica";
    state = apply(state, { type: "resize", at: 0, target, role, slots: 1 }).state;
  }
  for (let i = 0; i < waiting + 3; i++) state = apply(state, makeArrival(i, teams, 0)).state;
  return state;
}

function makeArrival(number: number, teams: number, at: number): AdmissionEvent {
  const priority = priorities[number % priorities.length] ?? "normal";
  const targets = ["p", "r1", "r2"];
  return {
    type: "arrive",
    at,
    request: {
      id: String(number),
      team: `team-${number % teams}`,
      plan: "paying",
      priority,
      candidates: number < 3 ? [targets[number] ?? "p"] : targets,
      deadlineAt: 1e9,
      maxQueueMs: 1e9,
    },
  };
}

function apply(state: Admission, event: AdmissionEvent) {
  const result = applyAdmission(state, event);
  if (result.type === "failed") throw new Error(result.failure);
  return result;
}

function collect(): void {
  globalThis.gc?.();
  globalThis.gc?.();
}

function micros(begun: bigint): number {
  return Number(process.hrtime.bigint() - begun) / 1000;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
