import type { Filter } from "../../filter/index.js";
import { assertInvariant, compareTerms, type Mark, type Outcome } from "../../model/index.js";
import { ownerEvents } from "../../log/events/owner.js";
import type { Logger } from "../../log/index.js";
import { failUnknown, refuse, type PlacedConnection, type ServeContext } from "../context.js";

/** SQLSTATEs with which a target that is no longer the primary refuses a write. */
const replicaRefusalStates: ReadonlySet<string> = new Set(["25006", "57P01", "57P02", "57P03"]);

/** The retry delay of a write that a superseded primary refused, in milliseconds. */
const supersededRetryMs = 200;

/** The result of confirming a committed write, with the write's mark or the reason of the failure. */
export type ConfirmationResult =
  | { readonly type: "confirmed"; readonly mark: Mark }
  | { readonly type: "unconfirmed"; readonly reason: string };

/** Confirms the writes of one group. */
export interface Confirmer {
  confirm(context: ServeContext, placed: PlacedConnection): Promise<ConfirmationResult>;
}

/**
 * Holds a write's outcome until the group has confirmed the write. A primary on the minority side of a
 * partition still commits and considers itself the primary; a caller that received this outcome would
 * lose its write to the new primary. The confirmation requires a majority of targets that, after the
 * commit, were not fenced by another owner. The filter is outside the placing filters: if a slot was held
 * while replicas catch up, their lag would limit the group's writes.
 */
export function createConfirmFilter(confirmer: Confirmer, logger: Logger): Filter<ServeContext> {
  return {
    name: "confirm",
    async apply(context, next) {
      const outcome = await next(context);
      if (outcome.type === "failed") {
        context.answer.discard();
        return outcome;
      }
      if (isRefusedByReplica(context)) {
        context.answer.discard();
        return refuse("superseded", supersededRetryMs, "the target is no longer the primary");
      }
      const placed = context.placement.current;
      if (placed === undefined || !needsConfirmation(context, outcome)) {
        await context.answer.release();
        return outcome;
      }
      return confirmWrite(confirmer, logger, { context, outcome, placed });
    },
  };
}

type Answered = Extract<Outcome, { type: "answered" }>;

interface Committed {
  readonly context: ServeContext;
  readonly outcome: Answered;
  readonly placed: PlacedConnection;
}

async function confirmWrite(
  confirmer: Confirmer,
  logger: Logger,
  { context, outcome, placed }: Committed,
): Promise<Outcome> {
  const { target, term } = placed;
  const confirmed = await confirmer.confirm(context, placed);
  const fields = { request: context.request.id, target: target.name };
  switch (confirmed.type) {
    case "confirmed":
      assertInvariant(
        "noSupersededAcknowledgement",
        term !== undefined && compareTerms(confirmed.mark.term, term) === 0,
        () => `${context.request.id} was confirmed in a term other than that of its placement`,
      );
      logger.write(ownerEvents.writeConfirmed, { ...fields, mark: confirmed.mark });
      await context.answer.release();
      return { ...outcome, mark: confirmed.mark };
    case "unconfirmed":
      logger.write(ownerEvents.writeUnconfirmed, { ...fields, reason: confirmed.reason });
      context.answer.discard();
      return failUnknown(`committed but not confirmed: ${confirmed.reason}`);
  }
}

/**
 * Whether a target that is no longer the primary refused the write. Only a refusal outside a transaction,
 * with nothing completed or forwarded before it, proves that the write has not run.
 */
function isRefusedByReplica(context: ServeContext): boolean {
  const { answer, request } = context;
  if (request.traits.effect === "read" || request.traits.transaction) return false;
  if (answer.hasForwarded || answer.tags.length > 0) return false;
  return answer.sqlState !== undefined && replicaRefusalStates.has(answer.sqlState);
}

/**
 * A write needs confirmation whatever role its target has now. Otherwise a commit of a superseded primary
 * would be acknowledged, and lost when this target follows its successor.
 */
function needsConfirmation(context: ServeContext, outcome: Answered): boolean {
  const { traits } = context.request;
  if (outcome.status !== "I") return false;
  if (traits.effect === "read") return false;
  return context.answer.tags.length > 0;
}
