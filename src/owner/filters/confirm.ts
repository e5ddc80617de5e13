import type { Filter } from "../../filter/index.js";
import { assertInvariant, compareTerms, type Mark, type Outcome } from "../../model/index.js";
import { ownerEvents } from "../../log/events/owner.js";
import type { Logger } from "../../log/index.js";
import { failUnknown, refuse, type PlacedConnection, type ServeContext } from "../context.js";

/** SQLSTATEs with which a target that is no longer primary refuses a write. */
const refusedByReplica: ReadonlySet<string> = new Set(["25006", "57P01", "57P02", "57P03"]);

/** When a write that met a superseded primary may be tried again, in milliseconds. */
const supersededRetryMs = 200;

/** What became of a committed write's confirmation. */
export type ConfirmationResult =
  | { readonly type: "confirmed"; readonly mark: Mark }
  | { readonly type: "unconfirmed"; readonly reason: string };

/** Confirms the writes of one group. */
export interface Confirmer {
  confirm(context: ServeContext, place: PlacedConnection): Promise<ConfirmationResult>;
}

/**
 * Holds a write's outcome until the group has confirmed it. A primary on the minority side of a
 * partition commits happily and believes in itself; a caller that heard so would lose its write to
 * the new primary. The confirmation needs a majority that was fenced by nobody after the commit.
 * It stands outside the placing filters: a slot held while replicas catch up would bound a group's
 * writes by their lag.
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
      if (isSuperseded(context)) {
        context.answer.discard();
        return refuse("superseded", supersededRetryMs, "the target is no longer primary");
      }
      const place = context.placement.current;
      if (place === undefined || !needsConfirmation(context, outcome)) {
        await context.answer.release();
        return outcome;
      }
      return confirmWrite(confirmer, logger, { context, outcome, place });
    },
  };
}

type Answered = Extract<Outcome, { type: "answered" }>;

interface Committed {
  readonly context: ServeContext;
  readonly outcome: Answered;
  readonly place: PlacedConnection;
}

async function confirmWrite(
  confirmer: Confirmer,
  logger: Logger,
  { context, outcome, place }: Committed,
): Promise<Outcome> {
  const { target, term } = place;
  const confirmed = await confirmer.confirm(context, place);
  const fields = { request: context.request.id, target: target.name };
  switch (confirmed.type) {
    case "confirmed":
      assertInvariant(
        "noSupersededAcknowledgement",
        term !== undefined && compareTerms(confirmed.mark.term, term) === 0,
        () => `${context.request.id} was confirmed in another term than it was placed in`,
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

/** Only a refusal with nothing done before it and outside a transaction is sure not to have run. */
function isSuperseded(context: ServeContext): boolean {
  const { answer, request } = context;
  if (request.traits.effect === "read" || request.traits.transaction) return false;
  if (answer.hasForwarded || answer.tags.length > 0) return false;
  return answer.sqlState !== undefined && refusedByReplica.has(answer.sqlState);
}

/**
 * A write is confirmed whatever role its target has by now: what a superseded primary committed
 * would be acknowledged otherwise, and lost when it follows its successor.
 */
function needsConfirmation(context: ServeContext, outcome: Answered): boolean {
  const { traits } = context.request;
  if (outcome.status !== "I") return false;
  if (traits.effect === "read") return false;
  return context.answer.tags.length > 0;
}
