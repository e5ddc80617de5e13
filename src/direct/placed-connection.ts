import type { HeldConnection, Slot } from "../capacity/index.js";
import type { DirectGroup } from "./group.js";
import type { IdleTransaction } from "./idle-transactions.js";
import type { PlacedConnection } from "./placement.js";
import type { Expectation } from "./replica-positions.js";
import type { SlotHold } from "./slot-hold.js";
import type { TrackedLink } from "./tracked-link.js";

/** What was expected of the answer to a placed statement. */
export interface ExpectedAnswer {
  readonly expectation: Expectation;
  /** Ends the try at a replica that is expected to lag. */
  readonly endProbe: (() => void) | undefined;
  /** What its slot is held for. */
  readonly hold: SlotHold;
}

/** Makes the connection of a statement that got a slot and a connection. */
export function makePlacedConnection(
  group: DirectGroup,
  slot: Slot,
  role: "primary" | "replica",
  connection: HeldConnection<TrackedLink>,
  { expectation, endProbe, hold }: ExpectedAnswer,
): PlacedConnection {
  const { target } = slot;
  group.noteStart(target);
  let isHeld = true;
  let idle: IdleTransaction | undefined;
  const freeSlot = () => {
    if (!isHeld || slot.isPaused || !group.isSlotPlanned) return false;
    group.noteEnd(target);
    slot.pause();
    return true;
  };
  const stopIdle = () => {
    if (idle !== undefined) group.idle.remove(idle);
    idle = undefined;
  };
  const end = (finish: () => void) => {
    if (!isHeld) return;
    isHeld = false;
    finish();
    if (!slot.isPaused) group.noteEnd(target);
    group.noteSlotHold(target, hold);
    slot.release();
    stopIdle();
    endProbe?.();
  };
  return {
    group,
    target,
    role,
    link: connection.session,
    expectation,
    noteProgress: () => connection.noteProgress(),
    noteCommand: (ms, isBusy) => hold.addCommand(ms, isBusy),
    get isIdle() {
      return isHeld && slot.isPaused;
    },
    pause: (transaction) => {
      if (!freeSlot()) return;
      idle = { ...transaction, target };
      group.idle.add(idle);
    },
    startRollback: () => {
      freeSlot();
      if (idle !== undefined) group.idle.noteEnding(idle);
    },
    resume: async (deadlineAt, signal) => {
      const wasPaused = slot.isPaused;
      stopIdle();
      const result = await slot.resume(deadlineAt, signal);
      if (isHeld && wasPaused && result.type === "started") group.noteStart(target);
      return result;
    },
    release: () => end(() => connection.release()),
    drop: () => end(() => connection.drop()),
  };
}
