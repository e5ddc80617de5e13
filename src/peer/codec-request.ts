import { create } from "@bufbuild/protobuf";
import type { Request, Route, ServeAction } from "../model/index.js";
import { decodeMark, requireField, encodeMark, findKey } from "./codec.js";
import {
  Acknowledgement,
  type Action,
  ActionSchema,
  Effect,
  Plan,
  Priority,
  type Request as RequestMessage,
  RequestSchema,
  RouteType,
} from "./gen/radishwalk/peer/v1/peer_pb.js";

const plans = { trial: Plan.TRIAL, paying: Plan.PAYING } as const;
const effects = { read: Effect.READ, write: Effect.WRITE } as const;
const acknowledgements = {
  replicated: Acknowledgement.REPLICATED,
  witnessed: Acknowledgement.WITNESSED,
} as const;
const priorities = {
  critical: Priority.CRITICAL,
  normal: Priority.NORMAL,
  browsing: Priority.BROWSING,
  trial: Priority.TRIAL,
} as const;
const routes = {
  primary: RouteType.PRIMARY,
  replica: RouteType.REPLICA,
  stale: RouteType.STALE,
} as const;

/** Converts a request to its message. The deadline is sent as the time left at `now`, since the clocks of two VMs differ. */
export function encodeRequest(request: Request, now: number): RequestMessage {
  const { traits, idempotency, mark } = request;
  return create(RequestSchema, {
    id: request.id,
    ...traits,
    tables: [...traits.tables],
    plan: plans[traits.plan],
    effect: effects[traits.effect],
    rule: request.rule,
    action: encodeAction(request.action),
    idempotencyKey: idempotency?.key ?? "",
    idempotencyDigest: idempotency?.digest ?? "",
    timeLeftMs: request.deadlineAt - now,
    ...(mark === undefined ? {} : { mark: encodeMark(mark) }),
  });
}

/**
 * Converts a message to a request, whose deadline is relative to `now` on the local clock. Throws
 * `ConnectError` when the message is malformed.
 */
export function decodeRequest(message: RequestMessage, now: number): Request {
  const { id, group, team, kind, tables, transaction, rule, mark } = message;
  const { idempotencyKey: key, idempotencyDigest: digest } = message;
  return {
    id,
    traits: {
      group,
      team,
      kind,
      tables,
      transaction,
      plan: findKey(plans, message.plan),
      effect: findKey(effects, message.effect),
    },
    rule,
    action: decodeAction(requireField(message.action, "action")),
    deadlineAt: now + message.timeLeftMs,
    ...(mark === undefined ? {} : { mark: decodeMark(mark) }),
    ...(digest === "" ? {} : { idempotency: { key, digest } }),
  };
}

function encodeAction(action: ServeAction): Action {
  return create(ActionSchema, {
    route: routes[action.route.type],
    maxAgeMs: action.route.type === "stale" ? action.route.maxAgeMs : 0,
    priority: priorities[action.priority],
    deadlineMs: action.deadlineMs,
    maxQueueMs: action.maxQueueMs,
    attempts: action.retry.attempts,
    acknowledgement: acknowledgements[action.acknowledgement],
  });
}

function decodeAction(message: Action): ServeAction {
  return {
    type: "serve",
    route: decodeRoute(message),
    priority: findKey(priorities, message.priority),
    deadlineMs: message.deadlineMs,
    maxQueueMs: message.maxQueueMs,
    retry: { attempts: message.attempts },
    acknowledgement: findKey(acknowledgements, message.acknowledgement),
  };
}

function decodeRoute({ route, maxAgeMs }: Action): Route {
  const type = findKey(routes, route);
  return type === "stale" ? { type, maxAgeMs } : { type };
}
