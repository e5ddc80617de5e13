import type { SessionStep, TokenKey } from "../session/index.js";
import { verifyToken } from "../session/index.js";
import type { StatementKind } from "../sql/index.js";
import { type CallerError, sqlStates } from "./errors.js";
import { backendTypes, encodeCommandComplete, encodeMessage } from "./message.js";
import type { BatchPlan, ExpectedReply } from "./plan.js";

/** Whether a batch is answered without a target, and its answer. `remote` needs a target. */
export type LocalAnswer =
  | { readonly type: "remote" }
  | { readonly type: "refused"; readonly error: CallerError }
  | {
      readonly type: "local";
      readonly messages: readonly Uint8Array[];
      readonly steps: readonly SessionStep[];
    };

/** Answers a batch that concerns only the session, such as a `radishwalk.` setting. */
export function answerLocally(plan: BatchPlan, keys: readonly TokenKey[]): LocalAnswer {
  const refusal = findRefusal(plan.statements);
  if (refusal !== undefined) return { type: "refused", error: refusal };
  const otherStatements = plan.statements.filter(
    (s) => s.type !== "setting" && s.type !== "discard",
  );
  if (otherStatements.length > 0) return { type: "remote" };
  const hasOtherReplies = plan.replies?.some((r) => r.type !== "closeStatement") ?? false;
  if (plan.statements.length === 0 && hasOtherReplies) return { type: "remote" };
  return answerSettings(plan, keys);
}

/** Builds the reply to a batch that only ends a transaction that is already rolled back. */
export function answerRollback(plan: BatchPlan): readonly Uint8Array[] {
  return encodeReplies(plan, () => "ROLLBACK");
}

function findRefusal(statements: readonly StatementKind[]): CallerError | undefined {
  const isLocal = (s: StatementKind): boolean => s.type === "setting" || s.type === "discard";
  for (const statement of statements) {
    if (statement.type === "sessionState") {
      return createUnsupportedError(
        `${statement.feature} would change the state of a shared connection`,
        "use SET LOCAL, and cursors without HOLD, inside a transaction",
      );
    }
    if (statement.type === "copyIn")
      return createUnsupportedError("COPY FROM STDIN is not supported");
  }
  const isMixed = statements.some(isLocal) && !statements.every(isLocal);
  return isMixed
    ? createUnsupportedError(
        "a radishwalk setting or DISCARD can't be combined with other statements",
      )
    : undefined;
}

function answerSettings(plan: BatchPlan, keys: readonly TokenKey[]): LocalAnswer {
  const steps: SessionStep[] = [];
  for (const statement of plan.statements) {
    const step = findSessionStep(statement, keys);
    if (step === undefined) {
      const message =
        "unrecognised radishwalk setting; available are kind, idempotency_key, session";
      return { type: "refused", error: { severity: "ERROR", code: "42704", message } };
    }
    steps.push(step);
  }
  const replySteps = (plan.replies ?? []).flatMap((reply) => ("step" in reply ? [reply.step] : []));
  return {
    type: "local",
    messages: encodeReplies(plan, (s) => (s.type === "discard" ? s.tag : "SET")),
    steps: [...replySteps, ...steps],
  };
}

function findSessionStep(
  statement: StatementKind,
  keys: readonly TokenKey[],
): SessionStep | undefined {
  if (statement.type === "discard") return { type: "closeStatements" };
  if (statement.type !== "setting") return undefined;
  const { name, value } = statement;
  switch (name) {
    case "kind":
      return value === undefined ? { type: "setKind" } : { type: "setKind", kind: value };
    case "idempotency_key":
      return value === undefined
        ? { type: "setIdempotencyKey" }
        : { type: "setIdempotencyKey", key: value };
    case "session":
      return value === undefined ? undefined : createTokenStep(value, keys);
    default:
      return undefined;
  }
}

/**
 * Creates the session step for a caller's token. A token that can't be verified is not refused: it
 * only marks the session's knowledge as incomplete.
 */
export function createTokenStep(text: string, keys: readonly TokenKey[]): SessionStep {
  const check = verifyToken(text, keys);
  return check.type === "verified" ? { type: "join", token: check.token } : { type: "joinUnknown" };
}

function encodeReplies(
  plan: BatchPlan,
  findTag: (statement: StatementKind) => string,
): readonly Uint8Array[] {
  if (plan.replies !== undefined) return plan.replies.flatMap((r) => encodeReply(r, findTag));
  if (plan.statements.length === 0) return [encodeMessage(backendTypes.emptyQueryResponse)];
  return plan.statements.map((statement) => encodeCommandComplete(findTag(statement)));
}

function encodeReply(
  reply: ExpectedReply,
  findTag: (statement: StatementKind) => string,
): readonly Uint8Array[] {
  switch (reply.type) {
    case "injectedParse":
      return [];
    case "parse":
      return [encodeMessage(backendTypes.parseComplete)];
    case "bind":
      return [encodeMessage(backendTypes.bindComplete)];
    case "closeStatement":
    case "closePortal":
      return [encodeMessage(backendTypes.closeComplete)];
    case "describeStatement":
      return [
        encodeMessage(backendTypes.parameterDescription, Buffer.alloc(2)),
        encodeMessage(backendTypes.noData),
      ];
    case "describePortal":
      return [encodeMessage(backendTypes.noData)];
    case "execute":
      return [encodeCommandComplete(findTag(reply.kind))];
  }
}

function createUnsupportedError(message: string, hint?: string): CallerError {
  const error = { severity: "ERROR", code: sqlStates.featureNotSupported, message } as const;
  return hint === undefined ? error : { ...error, hint };
}
