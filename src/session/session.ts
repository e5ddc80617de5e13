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

/** A statement that the caller has prepared under a name. */
export interface PreparedStatement {
  /** The statement without its tags. */
  readonly statement: string;
  readonly tags: ReadonlyMap<string, string>;
  /** The caller's complete `Parse` message. */
  readonly message: Uint8Array;
}

/** The state of a caller's session between its requests. Immutable; `applyStep` creates the next one. */
export interface Session {
  readonly team: Team;
  readonly group: string;
  readonly marks: ReadonlyMap<string, Mark>;
  /**
   * False when the session may have seen groups that `marks` lacks. Reads of a group without a mark must
   * then see the latest data.
   */
  readonly isComplete: boolean;
  readonly statements: ReadonlyMap<string, PreparedStatement>;
  readonly statementBytes: number;
  readonly kind: string | undefined;
  /** The key of the next write, which clears it. */
  readonly idempotencyKey: string | undefined;
}

/** Limits of the prepared statements of one session. */
export interface SessionLimits {
  readonly maxStatements: number;
  readonly maxStatementBytes: number;
}

/** Large enough for the statement caches of common drivers. */
export const defaultSessionLimits: SessionLimits = {
  maxStatements: 1000,
  maxStatementBytes: 1024 * 1024,
};

/** A change to a session. */
export type SessionStep =
  /** Later reads of the group must see `mark`. */
  | { readonly type: "see"; readonly group: string; readonly mark: Mark }
  /** Adds the marks of another session of the same team. */
  | { readonly type: "join"; readonly token: SessionToken }
  /** A token was rejected: what the caller has seen before is not known. */
  | { readonly type: "joinUnknown" }
  | { readonly type: "prepare"; readonly name: string; readonly statement: PreparedStatement }
  | { readonly type: "closeStatement"; readonly name: string }
  | { readonly type: "closeStatements" }
  | { readonly type: "setKind"; readonly kind?: string }
  | { readonly type: "setIdempotencyKey"; readonly key?: string };

/** What the caller of `applyStep` must do: send the session's new token to the client. */
export interface SessionEffect {
  readonly type: "sendToken";
}

/** Why a step fails. */
export type SessionFailure = "statementExists" | "statementsFull" | "otherTeam" | "settingTooLong";

const maxSettingLength = 256;

/** Creates a session that has seen nothing yet. */
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

/** Applies one step and returns the next session, or why the step fails. */
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

/** Returns the content of the session's token, for `signToken`. */
export function getTokenContent(session: Session): SessionToken {
  return { team: session.team.name, marks: session.marks, isComplete: session.isComplete };
}

function observeMarks(
  session: Session,
  seen: Iterable<readonly [string, Mark]>,
  isComplete: boolean,
): StepResult<Session, SessionEffect, SessionFailure> {
  const marks = new Map(session.marks);
  let hasChanged = isComplete !== session.isComplete;
  for (const [group, mark] of seen) {
    const known = marks.get(group);
    if (known !== undefined && compareMarkOrder(known, mark) >= 0) continue;
    // Reinserting moves the group to the end: a full token leaves out the groups seen longest ago.
    marks.delete(group);
    marks.set(group, known === undefined ? mark : pickLaterMark(known, mark));
    hasChanged = true;
  }
  if (!hasChanged) return succeed(session);
  return succeed({ ...session, marks, isComplete }, [{ type: "sendToken" }]);
}

function prepareStatement(
  session: Session,
  name: string,
  statement: PreparedStatement,
  limits: SessionLimits,
): StepResult<Session, SessionEffect, SessionFailure> {
  if (name !== "" && session.statements.has(name)) return fail("statementExists");
  const remaining = closeStatement(session, name);
  const statementBytes = remaining.statementBytes + countBytes(name, statement);
  const isFull = remaining.statements.size >= limits.maxStatements;
  if (isFull || statementBytes > limits.maxStatementBytes) return fail("statementsFull");
  const statements = new Map(remaining.statements).set(name, statement);
  return succeed({ ...remaining, statements, statementBytes });
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
