import { type AdmissionRequest } from "../controller/admission/index.js";
import type { HeldConnection, Slot } from "../capacity/index.js";
import { chooseCandidates, type PlacementConstraints } from "./candidates.js";
import type { DirectGroup } from "./group.js";
import type { DirectPorts } from "./ports.js";
import type { TrackedLink } from "./tracked-link.js";
import type { Database } from "./serving-config.js";

/** One statement's or transaction's wish for a connection. Times are on the proxy's clock. */
export interface PlacementRequest extends PlacementConstraints {
  readonly id: string;
  readonly database: Database;
  /** Whose connection it must be; the empty name where it is nobody's in particular. */
  readonly team: string;
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/** A connection to a target, held until `release` or `drop`. */
export interface PlacedConnection {
  readonly group: DirectGroup;
  readonly target: string;
  readonly role: "primary" | "replica";
  readonly link: TrackedLink;
  /** Notes an answer: the connection lives, however long its transaction goes on. */
  noteProgress(): void;
  /** Gives the connection back: nothing is in flight and no transaction is open on it. */
  release(): void;
  /** Closes the connection: what is on its way must reach nobody. */
  drop(): void;
}

/** What came of a wish for a connection. */
export type PlacementResult =
  | { readonly type: "placed"; readonly place: PlacedConnection }
  | {
      readonly type: "refused";
      readonly reason: string;
      readonly retryAfterMs: number;
      /** The targets that it waited for; none when it was refused before. */
      readonly waitedFor: readonly string[];
    }
  /** The target can't be reached now; another may be. */
  | { readonly type: "unreachable"; readonly target: string; readonly reason: string };

/** A wish that was refused. */
export type RefusedPlacement = Extract<PlacementResult, { type: "refused" }>;

/** A primary that is expected back later than this is not waited for, in milliseconds. */
const maxPrimaryWaitMs = 600;
const primaryPollMs = 20;
/** Told where nothing is known of when a group will serve again: a change of primary's usual time. */
const unknownPrimaryRetryMs = 1000;

/** Finds a target for a statement, waits for a slot there and takes a connection. */
export async function placeStatement(
  ports: DirectPorts,
  group: DirectGroup,
  request: PlacementRequest,
): Promise<PlacementResult> {
  const choice = await waitForCandidates(ports, group, request);
  if (choice.type === "refused") return choice;
  const admitted = await group.acquire(makeAdmissionRequest(request, choice.names), request.signal);
  if (admitted.type === "refused") {
    const { reason } = admitted;
    // The primary that it waited for was replaced: the next try finds the new one.
    if (reason === "noPrimary")
      return { type: "unreachable", target: choice.names[0] ?? "", reason };
    const { retryAfterMs } = admitted;
    return { type: "refused", reason, retryAfterMs, waitedFor: choice.names };
  }
  const { slot } = admitted;
  const taken = await group.takeConnection(slot.target, request.team, request);
  if (taken.type === "refused") {
    slot.release();
    return { type: "unreachable", target: slot.target, reason: taken.reason };
  }
  return {
    type: "placed",
    place: makePlacedConnection(group, slot, choice.role, taken.connection),
  };
}

type CandidateResult =
  | {
      readonly type: "chosen";
      readonly role: "primary" | "replica";
      readonly names: readonly string[];
    }
  | RefusedPlacement;

/** Waits for a change of primary only as long as it is expected to end in time. */
async function waitForCandidates(
  ports: DirectPorts,
  group: DirectGroup,
  request: PlacementRequest,
): Promise<CandidateResult> {
  const { clock, primaries, random } = ports;
  const startedAt = clock.now();
  for (;;) {
    const now = clock.now();
    const primary = primaries.find(group.name);
    const choice = chooseCandidates(request, primary, group.listCandidates(request.team), now, () =>
      random.draw(),
    );
    if (choice.type === "targets")
      return { type: "chosen", role: choice.role, names: choice.names };
    if (choice.type === "nowhere") {
      const { reason } = choice;
      return { type: "refused", reason, retryAfterMs: unknownPrimaryRetryMs, waitedFor: [] };
    }
    const isLong = now + choice.readyInMs > request.deadlineAt || request.signal.aborted;
    if (isLong || now - startedAt > maxPrimaryWaitMs) {
      return {
        type: "refused",
        reason: choice.reason,
        retryAfterMs: Math.ceil(choice.readyInMs),
        waitedFor: [],
      };
    }
    await clock.sleep(primaryPollMs);
  }
}

function makeAdmissionRequest(
  request: PlacementRequest,
  candidates: readonly string[],
): AdmissionRequest {
  const { id, database, deadlineAt } = request;
  const { priority, maxQueueMs } = database.action;
  // Turns are by team, so that one that sends many times its usual waits behind itself.
  const team = request.team || database.name;
  return { id, team, plan: "paying", priority, candidates, deadlineAt, maxQueueMs };
}

function makePlacedConnection(
  group: DirectGroup,
  slot: Slot,
  role: "primary" | "replica",
  connection: HeldConnection<TrackedLink>,
): PlacedConnection {
  const { target } = slot;
  group.noteStart(target);
  let isHeld = true;
  const end = (finish: () => void) => {
    if (!isHeld) return;
    isHeld = false;
    finish();
    slot.release();
    group.noteEnd(target);
  };
  return {
    group,
    target,
    role,
    link: connection.session,
    noteProgress: () => connection.noteProgress(),
    release: () => end(() => connection.giveBack()),
    drop: () => end(() => connection.drop()),
  };
}
