import {
  type StepResult,
  fail,
  type Mark,
  compareMarkOrder,
  pickLaterMark,
  succeed,
  type Team,
} from "../model/index.js";
import type { SessionToken } from "./token.js";

/** A statement that the caller prepared by name. */
export interface PreparedStatement {
  /** The statement without its tags. */
  readonly statement: string;
  readonly tags: ReadonlyMap<string, string>;
  /** The caller's `Parse` message, whole. */
  readonly message: Uint8Array;
}

/** What the proxy knows of one caller between its requests. Changed only by `applyStep`. */
export interface Session {
  readonly team: Team;
  readonly group: string;
  readonly marks: ReadonlyMap<string, Mark>;
  /** False when the session has seen more than `marks` tells: groups without a mark then want the latest. */
  readonly isComplete: boolean;
  readonly statements: ReadonlyMap<string, PreparedStatement>;
  readonly statementBytes: number;
  readonly kind: string | undefined;
  /** Names the next write, which uses it up. */
  readonly idempotencyKey: string | undefined;
}

/** Bounds of what one session may keep. */
export interface SessionLimits {
  readonly maxStatements: number;
  readonly maxStatementBytes: number;
}

/** Bounds that suit drivers' statement caches. */
export const defaultSessionLimits: SessionLimits = {
  maxStatements: 1000,
  maxStatementBytes: 1024 * 1024,
};

/** A change to a session. */
export type SessionStep =
  | { readonly type: "see"; readonly group: string; readonly mark: Mark }
  /** Takes over what another session of the team has seen. */
  | { readonly type: "join"; readonly token: SessionToken }
  /** A token was presented that can't be relied on. */
  | { readonly type: "joinUnknown" }
  | { readonly type: "prepare"; readonly name: string; readonly statement: PreparedStatement }
  | { readonly type: "closeStatement"; readonly name: string }
  | { readonly type: "closeStatements" }
  | { readonly type: "setKind"; readonly kind?: string }
  | { readonly type: "setIdempotencyKey"; readonly key?: string };

/** What is to be done outside after a step. */
export interface SessionEffect {
  readonly type: "tellToken";
}

/** Why a step does not apply. */
export type SessionFailure = "statementExists" | "statementsFull" | "otherTeam" | "settingTooLong";

const maxSettingLength = 256;

/** A session at its start. */
export function createSession(team: Team, group: string): Session {
  return {
    team,
    group,
    marks: new Map(),
    isComplete: true,
    statements: new Map(),
    statementBytes: 0,
    kind: undefined,
    idempotencyKey: undefined,
  };
}

/** Applies one step. */
export function applyStep(
  session: Session,
  step: SessionStep,
  limits: SessionLimits = defaultSessionLimits,
): StepResult<Session, SessionEffect, SessionFailure> {
  switch (step.type) {
    case "see":
      return observeMarks(session, [[step.group, step.mark]], session.isComplete);
    case "join":
      if (step.token.team !== session.team.name) return fail("otherTeam");
      return observeMarks(session, step.token.marks, session.isComplete && step.token.isComplete);
    case "joinUnknown":
      return succeed({ ...session, isComplete: false });
    case "prepare":
      return prepareStatement(session, step.name, step.statement, limits);
    case "closeStatement":
      return succeed(closeStatement(session, step.name));
    case "closeStatements":
      return succeed({ ...session, statements: new Map(), statementBytes: 0 });
    case "setKind":
      return setSetting(session, "kind", step.kind);
    case "setIdempotencyKey":
      return setSetting(session, "idempotencyKey", step.key);
  }
}

/** What a session takes along, for `signToken`. */
export function getTokenContent(session: Session): SessionToken {
  return { team: session.team.name, marks: session.marks, isComplete: session.isComplete };
}

function observeMarks(
  session: Session,
  seen: Iterable<readonly [string, Mark]>,
  isComplete: boolean,
): StepResult<Session, SessionEffect, SessionFailure> {
  const marks = new Map(session.marks);
  let grew = isComplete !== session.isComplete;
  for (const [group, mark] of seen) {
    const before = marks.get(group);
    if (before !== undefined && compareMarkOrder(before, mark) >= 0) continue;
    // Set anew, the group moves to the end: a full token leaves out those seen longest ago.
    marks.delete(group);
    marks.set(group, before === undefined ? mark : pickLaterMark(before, mark));
    grew = true;
  }
  if (!grew) return succeed(session);
  return succeed({ ...session, marks, isComplete }, [{ type: "tellToken" }]);
}

function prepareStatement(
  session: Session,
  name: string,
  statement: PreparedStatement,
  limits: SessionLimits,
): StepResult<Session, SessionEffect, SessionFailure> {
  if (name !== "" && session.statements.has(name)) return fail("statementExists");
  const rest = closeStatement(session, name);
  const statementBytes = rest.statementBytes + countBytes(name, statement);
  const isFull = rest.statements.size >= limits.maxStatements;
  if (isFull || statementBytes > limits.maxStatementBytes) return fail("statementsFull");
  const statements = new Map(rest.statements).set(name, statement);
  return succeed({ ...rest, statements, statementBytes });
}

function closeStatement(session: Session, name: string): Session {
  const statement = session.statements.get(name);
  if (statement === undefined) return session;
  const statements = new Map(session.statements);
  statements.delete(name);
  return {
    ...session,
    statements,
    statementBytes: session.statementBytes - countBytes(name, statement),
  };
}

function countBytes(name: string, { statement, message }: PreparedStatement): number {
  return message.length + 2 * (name.length + statement.length);
}

function setSetting(
  session: Session,
  name: "kind" | "idempotencyKey",
  value: string | undefined,
): StepResult<Session, SessionEffect, SessionFailure> {
  if (value !== undefined && value.length > maxSettingLength) return fail("settingTooLong");
  return succeed({ ...session, [name]: value });
}
