import type { AdmissionRequest, QueueSummary } from "../controller/admission/index.js";
import type { ResumeResult, SlotResult } from "../capacity/index.js";
import type { Mark } from "../model/index.js";
import {
  chooseCandidates,
  hasRegionalTarget,
  listReplicasOfAllRegions,
  needsPrimarySlot,
  type CandidateChoice,
  type CandidateTarget,
  type CrossingCost,
  type PlacementConstraints,
} from "./candidates.js";
import type { ConnectionResult, DirectGroup } from "./group.js";
import type { IdleTransaction } from "./idle-transactions.js";
import { makeAdmissionLevel } from "./levels.js";
import type { DirectPorts } from "./ports.js";
import type { PrimaryState } from "./primary.js";
import { choosePrimaryRetryMs, unknownPrimaryRetryMs } from "./primary-retry.js";
import { makePlacedConnection } from "./placed-connection.js";
import { minRedirectMs, type RedirectCause, type RedirectOffer } from "./redirect.js";
import type { Expectation, RequiredMark } from "./replica-positions.js";
import { findProbe, findReplicaWaitMs, limitReplicaWait } from "./replica-wait.js";
import { SlotHold } from "./slot-hold.js";
import type { TrackedLink } from "./tracked-link.js";
import type { Database } from "./serving-config.js";

/** A request for a connection for one statement or transaction. Times are in milliseconds on the proxy's clock. */
export interface PlacementRequest extends PlacementConstraints {
  readonly id: string;
  readonly database: Database;
  /** The team that the connection must serve; empty for anonymous callers. */
  readonly team: string;
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  /** The position that a replica's log must contain. */
  readonly atLeast?: Mark | undefined;
  /** Whether it goes to the primary only because no replica has the position. */
  readonly lacksReplica?: boolean;
  /** For a read that may be left to the primary's gateway. */
  readonly redirect?: RedirectOffer | undefined;
}

/** A connection and a slot at a target, held until `release` or `drop`. */
export interface PlacedConnection {
  readonly group: DirectGroup;
  readonly target: string;
  readonly role: "primary" | "replica";
  readonly link: TrackedLink;
  /** Whether the target was expected to have the position that the statement requires. */
  readonly expectation: Expectation;
  /** Records an answer, so that a long transaction's connection does not count as silent. */
  noteProgress(): void;
  /** Records the time that a command took, and whether the target had no free slot for it. */
  noteCommand(ms: number, isBusy: boolean): void;
  /** Whether it has given its slot back, because its transaction is idle between two statements. */
  readonly isIdle: boolean;
  /** Gives the slot back and keeps the connection, where slots are planned. */
  pause(idle: Omit<IdleTransaction, "target">): void;
  /** Gives the slot back for a rollback, which needs none. */
  startRollback(): void;
  /** Waits for a slot again, before all new work. */
  resume(deadlineAt: number, signal: AbortSignal): Promise<ResumeResult>;
  /** Returns the connection to its pool. Nothing may be in flight, and no transaction open on it. */
  release(): void;
  /** Closes the connection, so that pending answers are discarded. */
  drop(): void;
}

/** The result of a placement request. */
export type PlacementResult =
  | { readonly type: "placed"; readonly placement: PlacedConnection }
  | {
      readonly type: "refused";
      readonly reason: string;
      readonly retryAfterMs: number;
      /** The targets that it waited for; empty if it was refused without waiting for a slot. */
      readonly waitedFor: readonly string[];
      /** The queue that it was refused by, as it is afterwards. */
      readonly queue?: QueueSummary;
    }
  /** No connection to the target could be acquired; another target may be reachable. */
  | { readonly type: "unreachable"; readonly target: string; readonly reason: string }
  /** The request's redirect was accepted; nothing has been acquired. */
  | { readonly type: "redirected"; readonly reason: string };

/** A placement request that was refused. */
export type RefusedPlacement = Extract<PlacementResult, { type: "refused" }>;

const noRegionalTargetReason =
  "no target of this region can be read, as they lag or are unreachable";
/** The longest wait for a usable primary, in milliseconds. */
const maxPrimaryWaitMs = 600;
const primaryPollMs = 20;

/**
 * The wait for a connection after which a slot is given back to transactions, in milliseconds: several times
 * the 12 ms of opening one.
 */
const maxBlockingWaitMs = 100;

/** Finds a target for a statement, waits for a slot there and acquires a connection. */
export async function placeStatement(
  ports: DirectPorts,
  group: DirectGroup,
  request: PlacementRequest,
): Promise<PlacementResult> {
  const choice = await waitForCandidates(ports, group, request);
  if (choice.type !== "targets") return choice;
  const endProbe =
    choice.probes === undefined ? undefined : group.positions.beginProbe(choice.probes);
  const result = await placeAtTargets(ports, group, request, choice, endProbe);
  if (result.type !== "placed") endProbe?.();
  return result;
}

async function placeAtTargets(
  ports: DirectPorts,
  group: DirectGroup,
  request: PlacementRequest,
  choice: ChosenTargets,
  endProbe: (() => void) | undefined,
): Promise<PlacementResult> {
  const admitted = await acquireSlot(ports, group, markLacking(group, request, choice), choice);
  if (admitted.type === "refused") {
    const { reason } = admitted;
    // The primary that it waited for was replaced; the next attempt finds the new one.
    if (reason === "noPrimary")
      return { type: "unreachable", target: choice.names[0] ?? "", reason };
    const { retryAfterMs } = admitted;
    const queue = group.slots.summariseQueue(choice.names);
    return { type: "refused", reason, retryAfterMs, waitedFor: choice.names, queue };
  }
  const { slot } = admitted;
  const hold = new SlotHold(ports.clock.now());
  const expectation = findExpectation(group, request, choice.role, slot.target);
  const taken = await takeConnection(group, slot.target, request);
  if (taken.type === "refused") {
    slot.release();
    return { type: "unreachable", target: slot.target, reason: taken.reason };
  }
  hold.noteConnection(ports.clock.now());
  const expected = { expectation, endProbe, hold };
  return {
    type: "placed",
    placement: makePlacedConnection(group, slot, choice.role, taken.connection, expected),
  };
}

/** Marks a read that goes to the primary because no replica has its position; writes then keep half of the starts. */
function markLacking(
  group: DirectGroup,
  request: PlacementRequest,
  { role }: ChosenTargets,
): PlacementRequest {
  const lacksReplica = group.isSlotPlanned && role === "primary" && request.hasRequiredMark;
  return lacksReplica ? { ...request, lacksReplica } : request;
}

/** Whether a replica is expected to have the required position when the read is sent. */
function findExpectation(
  group: DirectGroup,
  { atLeast }: PlacementRequest,
  role: ChosenTargets["role"],
  target: string,
): Expectation {
  if (role === "primary" || atLeast === undefined || !group.isSlotPlanned) return "unknown";
  return group.positions.findExpectation(target, atLeast);
}

type ChosenTargets = Extract<CandidateChoice, { type: "targets" }> & {
  /** The replica that the read tries although it is expected to lag. */
  readonly probes?: string;
};

/**
 * Acquires a connection. Where slots are planned, gives up after a while if transactions that hold connections
 * wait for slots: each would wait for the other.
 */
async function takeConnection(
  group: DirectGroup,
  target: string,
  request: PlacementRequest,
): Promise<ConnectionResult> {
  const { team, deadlineAt, signal } = request;
  if (!group.isSlotPlanned || group.hasIdleConnection(target, team)) {
    return group.takeConnection(target, team, request);
  }
  const yielding = new AbortController();
  const timer = setInterval(() => {
    if (group.slots.countResuming(target) > 0) yielding.abort();
  }, maxBlockingWaitMs).unref();
  try {
    const either = AbortSignal.any([signal, yielding.signal]);
    return await group.takeConnection(target, team, { deadlineAt, signal: either });
  } finally {
    clearInterval(timer);
  }
}

type CandidateResult =
  ChosenTargets | RefusedPlacement | Extract<PlacementResult, { type: "redirected" }>;

/**
 * Waits for a slot. A read that waits in its region may use the replicas of all regions once it has waited for as
 * long as crossing takes: the estimate of its wait was too short, or the target here has stopped answering. It
 * does so at once when the queue refuses it before, as its wait here has become too long.
 */
async function acquireSlot(
  ports: DirectPorts,
  group: DirectGroup,
  request: PlacementRequest,
  { names, leavesRegionAfterMs }: ChosenTargets,
): Promise<SlotResult> {
  const acquire = (targets: readonly string[]) =>
    group.acquire(makeAdmissionRequest(request, targets), request.signal);
  const admitted = acquire(names);
  if (leavesRegionAfterMs === undefined) return admitted;
  const listWider = () => {
    const primary = ports.primaries.find(group.name);
    const candidates = group.listCandidates(request.team, findRequired(request, ports.clock.now()));
    return listReplicasOfAllRegions(request, primary, candidates, ports.clock.now());
  };
  const ended = new AbortController();
  let waitsFor = names;
  const leave = async () => {
    await ports.clock.sleep(leavesRegionAfterMs, ended.signal);
    const wider = listWider();
    if (wider.length === 0) return;
    waitsFor = wider;
    group.slots.retarget(request.id, wider);
  };
  // The sleep rejects when the wait has ended before.
  leave().catch(() => undefined);
  const result = await admitted;
  ended.abort();
  const isTooLong =
    result.type === "refused" && (result.reason === "queueFull" || result.reason === "deadline");
  if (!isTooLong || waitsFor !== names || request.signal.aborted) return result;
  const wider = listWider();
  return wider.length > 0 ? acquire(wider) : result;
}

/**
 * Chooses candidates. Waits for a replica that is expected to have the required position soon, and for a usable
 * primary while one is expected before the deadline and within `maxPrimaryWaitMs`.
 */
async function waitForCandidates(
  ports: DirectPorts,
  group: DirectGroup,
  request: PlacementRequest,
): Promise<CandidateResult> {
  const { clock, primaries, random } = ports;
  const startedAt = clock.now();
  const required = findRequired(request, startedAt);
  if (request.atLeast !== undefined || wantsPosition(request)) group.positions.noteRequired();
  const waitEndsAt = startedAt + limitReplicaWait(findObjectiveEnd(request) - startedAt);
  const crossing: CrossingCost = {
    estimateWaitMs: (names) => group.slots.estimateWaitMs(makeAdmissionRequest(request, names)),
    estimateCrossingMs: (names) => group.estimateCrossingMs(names),
  };
  for (;;) {
    const now = clock.now();
    const primary = primaries.find(group.name);
    const candidates = group.listCandidates(request.team, required);
    const probes = findProbe(request, primary, candidates, now);
    if (probes !== undefined) return { type: "targets", role: "replica", names: [probes], probes };
    const waitMs = findReplicaWaitMs(request, primary, candidates, now, waitEndsAt);
    if (waitMs !== undefined) {
      const isDisconnected = await clock.sleep(waitMs, request.signal).then(
        () => false,
        () => true,
      );
      if (isDisconnected) return disconnectedRefusal;
      continue;
    }
    const cause = findRedirectCause(group, request, primary, candidates, now);
    if (cause !== undefined) {
      request.redirect?.accept(cause);
      return { type: "redirected", reason: cause.reason };
    }
    const draw = () => random.draw();
    const choice = chooseCandidates(request, primary, candidates, now, draw, crossing);
    if (choice.type === "targets") return choice;
    if (choice.type === "nowhere") {
      const { reason } = choice;
      return { type: "refused", reason, retryAfterMs: unknownPrimaryRetryMs, waitedFor: [] };
    }
    const isLong = now + choice.readyInMs > request.deadlineAt || request.signal.aborted;
    const isWaitOver = now - startedAt > maxPrimaryWaitMs;
    if (isLong || isWaitOver) {
      const { readyInMs, reason } = choice;
      const isFailing = primary.type === "serving";
      const wait = { readyInMs, isFailing, isWaitOver, isSlotPlanned: group.isSlotPlanned };
      const retryAfterMs = choosePrimaryRetryMs(wait, () => random.draw());
      return { type: "refused", reason, retryAfterMs, waitedFor: [] };
    }
    await clock.sleep(primaryPollMs);
  }
}

/**
 * Why a read is left to another process; undefined when it is placed here. Of the reads for which no log
 * position is known, one at a time goes to the primary from here if it has a free slot: its answer tells the
 * position by which replicas are read again. Otherwise a gateway that redirects would never learn it.
 */
function findRedirectCause(
  group: DirectGroup,
  request: PlacementRequest,
  primary: PrimaryState,
  candidates: readonly CandidateTarget[],
  now: number,
): RedirectCause | undefined {
  const { redirect } = request;
  if (redirect === undefined || request.deadlineAt - now < minRedirectMs) return undefined;
  if (!needsPrimarySlot(request, primary, candidates, now)) {
    // Gateways of the other region have more slots at its targets, and the statement crosses once either way.
    const leavesRegion =
      redirect.canLeaveRegion && !hasRegionalTarget(request, primary, candidates, now);
    return leavesRegion ? { reason: noRegionalTargetReason, leavesRegion } : undefined;
  }
  if (!redirect.isOpen) return undefined;
  const leavesRegion = false;
  if (!request.needsPrimary)
    return { reason: "no replica can be read, as they lag or are unreachable", leavesRegion };
  const target = primary.type === "serving" ? primary.target : undefined;
  // Background work leaves one of several slots free.
  const reserved = request.isBackground ? 1 : 0;
  const hasFreeSlot = candidates.some(
    (v) => v.name === target && v.occupiedSlots < Math.max(1, v.slots - reserved),
  );
  if (wantsPosition(request) && hasFreeSlot && group.beginPositionRead()) return undefined;
  return { reason: "no replica is known to be fresh enough", leavesRegion };
}

/** Of a read whose caller disconnected while it waited for a replica. */
const disconnectedRefusal: RefusedPlacement = {
  type: "refused",
  reason: "the caller has disconnected",
  retryAfterMs: 0,
  waitedFor: [],
};

/** Whether a read may go to replicas once a position of the primary is known. */
function wantsPosition({ database }: PlacementRequest): boolean {
  const { route } = database.action;
  return route.type !== "primary" && route.maxAgeMs !== undefined;
}

/** When the objective of a statement ends; its deadline without an objective. */
function findObjectiveEnd({ database, deadlineAt }: PlacementRequest): number {
  const { deadlineMs, objectiveMs = deadlineMs } = database.action;
  return deadlineAt - deadlineMs + objectiveMs;
}

function findRequired({ atLeast }: PlacementRequest, since: number): RequiredMark | undefined {
  return atLeast === undefined ? undefined : { mark: atLeast, since };
}

function makeAdmissionRequest(
  request: PlacementRequest,
  candidates: readonly string[],
): AdmissionRequest {
  const { id, database, deadlineAt } = request;
  const { priority, maxQueueMs } = database.action;
  const level = makeAdmissionLevel(database.action, deadlineAt);
  // Admission takes turns by team, so that a team with a burst of statements delays only itself.
  const team = request.team || database.name;
  const lacking = request.lacksReplica === true ? { lacksReplica: true } : {};
  const rest = { candidates, deadlineAt, maxQueueMs, ...lacking };
  return { id, team, plan: "paying", priority, ...level, ...rest };
}
