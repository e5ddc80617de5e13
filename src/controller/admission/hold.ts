import { fail, succeed, type StepResult } from "../../model/index.js";
import { releaseSlot, takeSlot } from "./slots.js";
import { correctCharge, withClass } from "./state.js";
import { getEntry, listValues, putEntry, removeEntry } from "./tree.js";
import type {
  Admission,
  AdmissionEffect,
  AdmissionFailure,
  HeldRequest,
  RunningRequest,
  TargetSlots,
} from "./types.js";

type HoldResult = StepResult<Admission, AdmissionEffect, AdmissionFailure>;

/** The retry delay of a transaction that got no slot for its next statement, in milliseconds. */
const resumeRetryMs = 10;

/** A request and the target that it runs at or holds a connection to. */
interface Located {
  readonly admission: Admission;
  readonly target: string;
}

/** Takes a running request out of its slot. Undefined if it does not run. */
export function releaseRunning(
  admission: Admission,
  running: RunningRequest,
  at: number,
): Located | undefined {
  const target = admission.targets[running.target];
  if (target === undefined) return undefined;
  const queue = correctCharge(admission, running, at);
  const next = {
    ...withClass(admission, running.className, queue),
    running: removeEntry(admission.running, running.id),
    targets: { ...admission.targets, [target.target]: releaseSlot(target, running, at) },
  };
  return { admission: next, target: target.target };
}

/** Frees the slot of a running request that keeps its connection until `finish`. */
export function pauseRequest(admission: Admission, id: string, at: number): Located | undefined {
  const running = getEntry(admission.running, id);
  const released = running === undefined ? undefined : releaseRunning(admission, running, at);
  if (running === undefined || released === undefined) return undefined;
  const { target, team, className, isBackground } = running;
  return {
    admission: putHeld(released.admission, { id, target, team, className, isBackground }, 1),
    target,
  };
}

/**
 * Asks for a slot for a request that holds a connection. It starts at once if a slot is free, and otherwise
 * before all waiting requests.
 */
export function resumeRequest(
  admission: Admission,
  id: string,
  deadlineAt: number,
  at: number,
): HoldResult {
  const held = getEntry(admission.held, id);
  if (held === undefined) return fail("unknownRequest");
  if (held.resume !== undefined) return fail("duplicateRequest");
  const resume = { seq: admission.nextSeq, deadlineAt };
  const asked = putHeld({ ...admission, nextSeq: admission.nextSeq + 1 }, { ...held, resume }, 0);
  const started = startNextHeld(asked, held.target, false, at);
  return started ?? succeed(asked);
}

/** Withdraws the wait of a held request for a slot; undefined if it holds no connection. */
export function cancelResume(admission: Admission, id: string): Admission | undefined {
  const held = getEntry(admission.held, id);
  if (held === undefined) return undefined;
  return putHeld(admission, withoutResume(held), 0);
}

/** Gives back the connection of a request that holds no slot; undefined if it holds no connection. */
export function releaseHeld(admission: Admission, id: string): Located | undefined {
  const held = getEntry(admission.held, id);
  if (held === undefined) return undefined;
  const { target } = held;
  const next = { ...admission, held: removeEntry(admission.held, id) };
  return { admission: changeHeldCount(next, target, -1), target };
}

/**
 * Starts the next held request that waits for a slot of the target, or refuses it if its deadline has passed.
 * Undefined if there is none, or while the next slot belongs to a waiting request.
 */
export function startNextHeld(
  admission: Admission,
  name: string,
  isWorkWaiting: boolean,
  at: number,
): Extract<HoldResult, { type: "applied" }> | undefined {
  const target = admission.targets[name];
  const held = target === undefined ? undefined : findNextHeld(admission, name);
  if (target === undefined || held?.resume === undefined) return undefined;
  if (held.resume.deadlineAt <= at) return refuseHeld(admission, held);
  if (!canResume(target, isWorkWaiting)) return undefined;
  const { id, team, className, isBackground } = held;
  const running: RunningRequest = {
    id,
    target: name,
    team,
    className,
    isBackground,
    startedAt: at,
    chargedMs: 0,
    isAbandoned: false,
    isResumed: true,
  };
  const taken = { ...takeSlot(target, isBackground), held: target.held - 1 };
  const resumed = { ...taken, runningResumed: target.runningResumed + 1, isResumedLast: true };
  const next = {
    ...admission,
    held: removeEntry(admission.held, id),
    running: putEntry(admission.running, id, running),
    targets: { ...admission.targets, [name]: resumed },
  };
  return succeed(next, [{ type: "start", id, target: name }]);
}

/** Refuses the held requests whose deadline has passed while they waited for a slot. */
export function refuseOverdueHeld(
  admission: Admission,
  at: number,
): Extract<HoldResult, { type: "applied" }> {
  let state = admission;
  const effects: AdmissionEffect[] = [];
  for (const held of listValues(admission.held)) {
    if (held.resume === undefined || held.resume.deadlineAt > at) continue;
    const refused = refuseHeld(state, held);
    state = refused.state;
    effects.push(...refused.effects);
  }
  return succeed(state, effects);
}

/** The ids of the held requests that wait for a slot of the target. */
export function listResuming(admission: Admission, target: string): readonly string[] {
  return [...listValues(admission.held)]
    .filter((held) => held.target === target && held.resume !== undefined)
    .map(({ id }) => id);
}

/**
 * Whether a held request may take a slot. Held requests go first, as their transactions keep connections from
 * others; but while other work waits they leave it one slot, or every second start where there is one slot. A
 * target that takes no new work still runs the open transactions, one statement at a time.
 */
function canResume(target: TargetSlots, isWorkWaiting: boolean): boolean {
  const slots = Math.max(1, target.slots);
  if (target.running >= slots) return false;
  if (!isWorkWaiting) return true;
  return slots > 1 ? target.runningResumed < slots - 1 : !target.isResumedLast;
}

function findNextHeld(admission: Admission, target: string): HeldRequest | undefined {
  let next: HeldRequest | undefined;
  for (const held of listValues(admission.held)) {
    if (held.target !== target || held.resume === undefined) continue;
    if (next?.resume === undefined || held.resume.seq < next.resume.seq) next = held;
  }
  return next;
}

function refuseHeld(admission: Admission, held: HeldRequest) {
  const next = putHeld(admission, withoutResume(held), 0);
  const effect = {
    type: "refuse",
    id: held.id,
    reason: "deadline",
    retryAfterMs: resumeRetryMs,
  } as const;
  return succeed(next, [effect]);
}

function withoutResume({ id, target, team, className, isBackground }: HeldRequest): HeldRequest {
  return { id, target, team, className, isBackground };
}

function putHeld(admission: Admission, held: HeldRequest, change: number): Admission {
  const next = { ...admission, held: putEntry(admission.held, held.id, held) };
  return changeHeldCount(next, held.target, change);
}

function changeHeldCount(admission: Admission, name: string, change: number): Admission {
  const target = admission.targets[name];
  if (target === undefined || change === 0) return admission;
  const counted = { ...target, held: target.held + change };
  return { ...admission, targets: { ...admission.targets, [name]: counted } };
}
