import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { Database, SessionContext } from "../direct/index.js";
import type { Mark, Priority, Route, ServeAction } from "../model/index.js";
import {
  GatewayPriority,
  GatewayRole,
  GatewayRoute,
  GatewayState,
  type GatewayMark,
  type GatewayReply,
  type GatewayReplySchema,
  type GatewayRequestSchema,
  type RunStep,
  type SessionPart,
  SessionPartSchema,
} from "../peer/gen/radishwalk/direct/v1/gateway_pb.js";
import {
  isErrorCode,
  type ReplyEnd,
  type Reply,
  type SessionState,
  type Work,
} from "../statement/index.js";

/** The `step` of a request message. */
export type RequestStep = NonNullable<MessageInitShape<typeof GatewayRequestSchema>["step"]>;

/** A gateway's answer to a statement, with the target that gave it. */
export interface GatewayAnswer {
  readonly reply: Reply;
  /** Whether the reply's mark is that of a commit of this session. */
  readonly isWritten: boolean;
  readonly target: string;
  readonly role: "primary" | "replica" | "none";
  readonly tries: number;
}

/** The part of a session that a gateway needs to run its statements. Times are on the gateway's clock. */
export interface ServedSession {
  readonly session: string;
  readonly database: Database;
  readonly values: ReadonlyMap<string, string>;
  readonly lastCommit: Mark | undefined;
  /** The name of the session's team; undefined when it belongs to no team. */
  readonly teamName: string | undefined;
}

const priorities: Readonly<Record<Priority, GatewayPriority>> = {
  critical: GatewayPriority.CRITICAL,
  normal: GatewayPriority.NORMAL,
  browsing: GatewayPriority.BROWSING,
  trial: GatewayPriority.TRIAL,
};

const states: Readonly<Record<SessionState, GatewayState>> = {
  idle: GatewayState.IDLE,
  transaction: GatewayState.TRANSACTION,
  failed: GatewayState.FAILED,
};

const roles: Readonly<Record<GatewayAnswer["role"], GatewayRole>> = {
  primary: GatewayRole.PRIMARY,
  replica: GatewayRole.REPLICA,
  none: GatewayRole.UNSPECIFIED,
};

/** The transaction that a step belongs to. The fields are those of the step messages. */
export interface TransactionPart {
  /** 0 for a statement outside a transaction. */
  readonly transaction: number;
  /** Whether this is the transaction's first step at the gateway. */
  readonly opens: boolean;
  readonly isReadOnly: boolean;
}

/** For a statement outside a transaction. */
export const noTransaction: TransactionPart = { transaction: 0, opens: false, isReadOnly: false };

/**
 * Encodes the step that runs a statement; `leftMs` is the time left for its answer. `acceptsRedirect` tells the
 * gateway that it may leave the statement to the primary's gateway.
 */
export function encodeRun(
  context: SessionContext,
  work: Work,
  leftMs: number,
  part: TransactionPart,
  acceptsRedirect = false,
): RequestStep {
  const session = encodeSession(context, leftMs, acceptsRedirect);
  return { case: "run", value: { session, ...part, work: encodeWork(work) } };
}

/** Encodes the step that commits a transaction; `leftMs` is the time left for its answer. */
export function encodeCommit(
  context: SessionContext,
  { id, text }: { readonly id: string; readonly text: string },
  leftMs: number,
  part: TransactionPart,
): RequestStep {
  const session = encodeSession(context, leftMs);
  return { case: "commit", value: { session, ...part, id, text } };
}

/** Decodes the session's part of a step; undefined when it names no route. */
export function decodeSession(part: SessionPart | undefined): ServedSession | undefined {
  const route = part === undefined ? undefined : decodeRoute(part);
  if (part === undefined || route === undefined) return undefined;
  const { session, database: name, group, leftMs, maxQueueMs, values, written, team } = part;
  const { level, objectiveMs = leftMs } = part;
  const action = {
    type: "serve",
    route,
    priority: decodePriority(part.priority),
    deadlineMs: leftMs,
    maxQueueMs: Math.min(maxQueueMs, leftMs),
    retry: { attempts: 0 },
    acknowledgement: "witnessed",
    ...(level === undefined ? {} : { level, objectiveMs }),
  } as const;
  return {
    session,
    database: { name, group, action },
    values: new Map(Object.entries(values)),
    lastCommit: written === undefined ? undefined : decodeMark(written),
    teamName: team,
  };
}

/** Decodes a statement; undefined when the step has none. */
export function decodeWork({ work }: RunStep): Work | undefined {
  switch (work.case) {
    case "access": {
      const { id, isWrite, text } = work.value;
      return { type: "access", id, effect: isWrite ? "write" : "read", text };
    }
    case "execute": {
      const { id, isWrite, shape, argument } = work.value;
      const prepared = { effect: isWrite ? "write" : "read", shape } as const;
      return { type: "execute", id, prepared, argument };
    }
    case undefined:
      return undefined;
  }
}

/** Encodes a gateway's answer. */
export function encodeAnswer(answer: GatewayAnswer): MessageInitShape<typeof GatewayReplySchema> {
  const { reply, isWritten, target, role, tries } = answer;
  return {
    rows: [...reply.rows],
    end: encodeEnding(reply.end),
    state: states[reply.state],
    ...(reply.mark === undefined ? {} : { mark: encodeMark(reply.mark) }),
    isWritten,
    target,
    role: roles[role],
    tries,
  };
}

/** Decodes a gateway's answer. */
export function decodeAnswer(message: GatewayReply): GatewayAnswer {
  const { rows, isWritten, target, tries, mark } = message;
  const reply: Reply = {
    rows,
    end: decodeEnding(message),
    state: decodeState(message.state),
    ...(mark === undefined ? {} : { mark: decodeMark(mark) }),
  };
  return { reply, isWritten, target, role: decodeRole(message.role), tries };
}

function encodeSession(
  context: SessionContext,
  leftMs: number,
  acceptsRedirect = false,
): SessionPart {
  const { session, database, values, lastCommit: written, team } = context;
  const { route, priority, maxQueueMs, level } = database.action;
  const maxAgeMs = route.type === "primary" ? undefined : route.maxAgeMs;
  return create(SessionPartSchema, {
    session,
    database: database.name,
    group: database.group,
    route: encodeRoute(route),
    ...(maxAgeMs === undefined ? {} : { maxAgeMs: Math.floor(maxAgeMs) }),
    priority: priorities[priority],
    leftMs: Math.max(0, Math.floor(leftMs)),
    maxQueueMs: Math.max(0, Math.floor(maxQueueMs)),
    values: Object.fromEntries(values),
    ...(written === undefined ? {} : { written: encodeMark(written) }),
    ...(team === undefined ? {} : { team: team.name }),
    ...(level === undefined
      ? {}
      : { level, objectiveMs: computeObjectiveLeft(database.action, leftMs) }),
    acceptsRedirect,
  });
}

/** The time left of the objective, which counts from the statement's arrival; 0 once it has been missed. */
function computeObjectiveLeft(action: ServeAction, leftMs: number): number {
  const { deadlineMs, objectiveMs = deadlineMs } = action;
  return Math.max(0, Math.floor(objectiveMs - (deadlineMs - leftMs)));
}

function encodeRoute({ type }: Route): GatewayRoute {
  switch (type) {
    case "primary":
      return GatewayRoute.PRIMARY;
    case "replica":
      return GatewayRoute.REPLICA;
    case "stale":
      return GatewayRoute.STALE;
  }
}

function decodeRoute({ route, maxAgeMs }: SessionPart): Route | undefined {
  switch (route) {
    case GatewayRoute.PRIMARY:
      return { type: "primary" };
    case GatewayRoute.REPLICA:
      return { type: "replica", ...(maxAgeMs === undefined ? {} : { maxAgeMs }) };
    case GatewayRoute.STALE:
      return { type: "stale", maxAgeMs: maxAgeMs ?? 0 };
    case GatewayRoute.UNSPECIFIED:
      return undefined;
  }
}

/** A priority that is unknown here was sent by a newer version of the program and gets the lowest priority. */
function decodePriority(priority: GatewayPriority): Priority {
  switch (priority) {
    case GatewayPriority.CRITICAL:
      return "critical";
    case GatewayPriority.NORMAL:
      return "normal";
    case GatewayPriority.BROWSING:
      return "browsing";
    case GatewayPriority.TRIAL:
    case GatewayPriority.UNSPECIFIED:
      return "trial";
  }
}

function encodeWork(work: Work) {
  if (work.type === "access") {
    const { id, effect, text } = work;
    return { case: "access", value: { id, isWrite: effect === "write", text } } as const;
  }
  const { id, prepared, argument } = work;
  const { effect, shape } = prepared;
  return { case: "execute", value: { id, isWrite: effect === "write", shape, argument } } as const;
}

function encodeEnding(end: ReplyEnd) {
  return end.type === "complete"
    ? ({ case: "signature", value: end.signature } as const)
    : ({ case: "error", value: { code: end.code, text: end.text } } as const);
}

/** An answer without an ending, or with an unknown error code, leaves open whether the statement ran. */
function decodeEnding({ end }: GatewayReply): ReplyEnd {
  switch (end.case) {
    case "signature":
      return { type: "complete", signature: end.value };
    case "error": {
      const { code, text } = end.value;
      return { type: "error", code: isErrorCode(code) ? code : "inDoubt", text };
    }
    case undefined:
      return { type: "error", code: "inDoubt", text: "the gateway's answer can't be decoded" };
  }
}

function decodeState(state: GatewayState): SessionState {
  switch (state) {
    case GatewayState.IDLE:
      return "idle";
    case GatewayState.TRANSACTION:
      return "transaction";
    case GatewayState.FAILED:
      return "failed";
  }
}

function decodeRole(role: GatewayRole): GatewayAnswer["role"] {
  switch (role) {
    case GatewayRole.PRIMARY:
      return "primary";
    case GatewayRole.REPLICA:
      return "replica";
    case GatewayRole.UNSPECIFIED:
      return "none";
  }
}

/** Encodes a log position. */
export function encodeMark({ term, offset }: Mark) {
  return { round: term.round, vm: term.vm, offset };
}

/** Decodes a log position. */
export function decodeMark({ round, vm, offset }: GatewayMark): Mark {
  return { term: { round, vm }, offset };
}
