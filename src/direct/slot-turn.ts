import { directEvents } from "../log/events/direct.js";
import { priorities } from "../model/index.js";
import { isStillPrimary } from "./attempt.js";
import type { SessionContext } from "./context.js";
import type { PlacedConnection } from "./placement.js";

/** Whether a transaction's next statement may be sent. */
export type SlotTurn =
  | { readonly type: "taken" }
  /** The caller has disconnected. */
  | { readonly type: "disconnected" }
  | { readonly type: "superseded" }
  | { readonly type: "refused"; readonly reason: string; readonly retryAfterMs: number };

/**
 * Waits for a slot for the next statement of a transaction. The primary may have been replaced meanwhile; it
 * would then answer reads with stale data.
 */
export async function waitForSlotTurn(
  context: SessionContext,
  placement: PlacedConnection,
  deadlineAt: number,
): Promise<SlotTurn> {
  for (;;) {
    const result = await placement.resume(deadlineAt, context.disconnectSignal);
    if (result.type === "started") {
      const isSuperseded = result.waitedMs > 0 && !isStillPrimary(context, placement);
      return { type: isSuperseded ? "superseded" : "taken" };
    }
    if (context.disconnectSignal.aborted) return { type: "disconnected" };
    const { reason, retryAfterMs } = result;
    if (reason !== "noPrimary") return { type: "refused", reason, retryAfterMs };
    // A read-only transaction at a replica is not affected by a change of primary.
    if (placement.role === "primary") return { type: "superseded" };
  }
}

/**
 * Gives a transaction's slot back until its next statement, where slots are planned. `end` rolls it back when
 * others need its connection.
 */
export function giveSlotBack(
  context: SessionContext,
  placement: PlacedConnection,
  hasWritten: boolean,
  end: () => void,
): void {
  const { session, ports, database } = context;
  const { level, priority } = database.action;
  const idleSince = ports.clock.now();
  placement.pause({
    level: level ?? priorities.indexOf(priority),
    hasWritten,
    idleSince,
    end: () => {
      const idleMs = Math.round(ports.clock.now() - idleSince);
      const { target } = placement;
      ports.logger.write(directEvents.transactionDisplaced, { session, target, idleMs });
      end();
    },
  });
}

/** Why a transaction was ended for others. */
export const displacedReason = "it was idle while others waited for its connection";

/** Why a transaction ended whose statement waited for a slot. */
export const disconnectedReason = "the caller has disconnected";
