import { composeFilters, type Filter, type Next } from "../filter/index.js";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import {
  assertInvariant,
  type Clock,
  type IdempotencyKey,
  compareMarkOrder,
  type Outcome,
  type Random,
  type Request,
  type RequestTraits,
  type RuleAction,
  type Team,
} from "../model/index.js";
import { requirePart, findKind, type RequestContext } from "./context.js";
import { OwnerRetry } from "./retry.js";
import { leavesTransactionOpen } from "./transaction.js";

/** The rule that matches a request, and its action. */
export interface RuleDecision {
  readonly rule: string;
  readonly action: RuleAction;
}

/** The dependencies of the filter chain. */
export interface ChainOptions {
  readonly match: (traits: RequestTraits) => RuleDecision;
  readonly findTeam: (name: string) => Team | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

const unknownTeamRetryMs = 60_000;

/** Builds the filter chain of a request: identify, classify, match, locate, retry, answer. */
export function buildRequestChain(options: ChainOptions): Next<RequestContext> {
  return composeFilters<RequestContext>([
    createIdentifyFilter(options),
    classifyFilter,
    createMatchFilter(options),
    createLocateFilter(options),
    new OwnerRetry(options.clock, options.random, options.logger),
    answerFilter,
  ]);
}

function createIdentifyFilter({ findTeam }: ChainOptions): Filter<RequestContext> {
  return {
    name: "identify",
    apply: (context, next) => {
      const team = findTeam(context.session.team.name);
      return team === undefined
        ? Promise.resolve(createRefusal("the team is no longer configured", unknownTeamRetryMs))
        : next({ ...context, team });
    },
  };
}

const classifyFilter: Filter<RequestContext> = {
  name: "classify",
  apply: (context, next) => next({ ...context, traits: getTraits(context) }),
};

function createMatchFilter({ match, logger }: ChainOptions): Filter<RequestContext> {
  return {
    name: "match",
    apply: (context, next) => {
      const traits = requirePart(context.traits);
      const { rule, action } = match(traits);
      logger.write(callerEvents.decided, { ...traits, request: context.id, rule, action });
      switch (action.type) {
        case "refuse":
          return Promise.resolve(createRefusal(action.reason, action.retryAfterMs));
        case "serve":
          return next({ ...context, decision: { rule, action } });
      }
    },
  };
}

function createLocateFilter({ clock }: ChainOptions): Filter<RequestContext> {
  return {
    name: "locate",
    apply: (context, next) => {
      const { rule, action } = requirePart(context.decision);
      const mark = context.session.marks.get(context.session.group);
      const idempotency = getIdempotencyKey(context);
      // The marks of such a session are incomplete; only the primary surely holds all that it has seen.
      const isPrimaryRequired = mark === undefined && !context.session.isComplete;
      const request: Request = {
        id: context.id,
        traits: requirePart(context.traits),
        rule,
        action: isPrimaryRequired ? { ...action, route: { type: "primary" } } : action,
        deadlineAt: clock.now() + action.deadlineMs,
        ...(mark === undefined ? {} : { mark }),
        ...(idempotency === undefined ? {} : { idempotency }),
      };
      return next({ ...context, request });
    },
  };
}

const answerFilter: Filter<RequestContext> = {
  name: "answer",
  apply: async (context) => {
    const { attempt, plan, signal } = context;
    const { conversation, relay } = attempt;
    const request = requirePart(context.request);
    const outcome = await conversation.run(request, plan.messages, relay.accept, signal);
    assertOwnWritesSeen(request, outcome);
    return outcome;
  },
};

function getTraits(context: RequestContext): RequestTraits {
  const { plan, session, transaction } = context;
  const isOpen = transaction.type === "open";
  const effect = isOpen ? (transaction.isReadOnly ? "read" : "write") : plan.effect;
  const { name: team, plan: teamPlan } = requirePart(context.team);
  return {
    group: session.group,
    team,
    plan: teamPlan,
    kind: findKind(context, plan) ?? effect,
    effect,
    tables: plan.tables,
    transaction: isOpen || leavesTransactionOpen(plan.statements),
  };
}

function getIdempotencyKey({ plan, session }: RequestContext): IdempotencyKey | undefined {
  const isWrite = plan.effect === "write" && plan.statements.some((s) => s.type === "plain");
  const key = plan.tags.get("idempotency_key") ?? session.idempotencyKey;
  return isWrite && key !== undefined ? { key, digest: plan.digest } : undefined;
}

function assertOwnWritesSeen(request: Request, outcome: Outcome): void {
  const { mark, action } = request;
  if (outcome.type !== "answered" || mark === undefined || action.route.type === "stale") return;
  const seen = outcome.mark;
  if (seen === undefined) return;
  assertInvariant(
    "readYourWrites",
    compareMarkOrder(seen, mark) >= 0,
    () =>
      `request ${request.id} read at offset ${seen.offset}, its session had seen ${mark.offset}`,
  );
}

function createRefusal(message: string, retryAfterMs: number): Outcome {
  return {
    type: "failed",
    verdict: { type: "notRun", reason: "refusedByRule", retryAfterMs },
    message,
  };
}
