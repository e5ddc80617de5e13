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
import { demand, findKind, type RequestContext } from "./context.js";
import { OwnerRetry } from "./retry.js";
import { opensTransaction } from "./transaction.js";

/** What a rule says of a request. */
export interface RuleDecision {
  readonly rule: string;
  readonly action: RuleAction;
}

/** What the chain needs from outside. */
export interface ChainOptions {
  readonly match: (traits: RequestTraits) => RuleDecision;
  readonly findTeam: (name: string) => Team | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

const rosterRetryMs = 60_000;

/** Builds the chain of a request: identify, classify, match, locate, retry, answer. */
export function buildRequestChain(options: ChainOptions): Next<RequestContext> {
  return composeFilters<RequestContext>([
    createIdentify(options),
    classify,
    createMatch(options),
    createLocate(options),
    new OwnerRetry(options.clock, options.random, options.logger),
    answer,
  ]);
}

function createIdentify({ findTeam }: ChainOptions): Filter<RequestContext> {
  return {
    name: "identify",
    apply: (context, next) => {
      const team = findTeam(context.session.team.name);
      return team === undefined
        ? Promise.resolve(refuse("the team is no longer on the roster", rosterRetryMs))
        : next({ ...context, team });
    },
  };
}

const classify: Filter<RequestContext> = {
  name: "classify",
  apply: (context, next) => next({ ...context, traits: describeTraits(context) }),
};

function createMatch({ match, logger }: ChainOptions): Filter<RequestContext> {
  return {
    name: "match",
    apply: (context, next) => {
      const traits = demand(context.traits);
      const { rule, action } = match(traits);
      logger.write(callerEvents.decided, { ...traits, request: context.id, rule, action });
      switch (action.type) {
        case "refuse":
          return Promise.resolve(refuse(action.reason, action.retryAfterMs));
        case "serve":
          return next({ ...context, decision: { rule, action } });
      }
    },
  };
}

function createLocate({ clock }: ChainOptions): Filter<RequestContext> {
  return {
    name: "locate",
    apply: (context, next) => {
      const { rule, action } = demand(context.decision);
      const mark = context.session.marks.get(context.session.group);
      const idempotency = findIdempotency(context);
      // What such a session has seen is not known here; only the primary is sure to hold it.
      const isFloored = mark === undefined && !context.session.isComplete;
      const request: Request = {
        id: context.id,
        traits: demand(context.traits),
        rule,
        action: isFloored ? { ...action, route: { type: "primary" } } : action,
        deadlineAt: clock.now() + action.deadlineMs,
        ...(mark === undefined ? {} : { mark }),
        ...(idempotency === undefined ? {} : { idempotency }),
      };
      return next({ ...context, request });
    },
  };
}

const answer: Filter<RequestContext> = {
  name: "answer",
  apply: async (context) => {
    const { attempt, plan, signal } = context;
    const { conversation, relay } = attempt;
    const request = demand(context.request);
    const outcome = await conversation.run(request, plan.messages, relay.accept, signal);
    assertOwnWritesSeen(request, outcome);
    return outcome;
  },
};

function describeTraits(context: RequestContext): RequestTraits {
  const { plan, session, transaction } = context;
  const isOpen = transaction.type === "open";
  const effect = isOpen ? (transaction.readOnly ? "read" : "write") : plan.effect;
  const { name: team, plan: teamPlan } = demand(context.team);
  return {
    group: session.group,
    team,
    plan: teamPlan,
    kind: findKind(context, plan) ?? effect,
    effect,
    tables: plan.tables,
    transaction: isOpen || opensTransaction(plan.statements),
  };
}

function findIdempotency({ plan, session }: RequestContext): IdempotencyKey | undefined {
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
    () => `request ${request.id} saw ${seen.offset}, its session ${mark.offset}`,
  );
}

function refuse(message: string, retryAfterMs: number): Outcome {
  return {
    type: "failed",
    verdict: { type: "notRun", reason: "refusedByRule", retryAfterMs },
    message,
  };
}
