import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { NotRunReason, Outcome, Verdict } from "../model/index.js";
import { decodeMark, encodeMark, findKey, createMalformedError } from "./codec.js";
import {
  type Answered,
  AnsweredSchema,
  type Failed,
  FailedSchema,
  NotRunReason as Reason,
  type Outcome as OutcomeMessage,
  OutcomeSchema,
  TransactionStatus,
} from "./gen/radishwalk/peer/v1/peer_pb.js";

const statuses = {
  I: TransactionStatus.IDLE,
  T: TransactionStatus.OPEN,
  E: TransactionStatus.FAILED,
} as const;

const reasons: Readonly<Record<NotRunReason, Reason>> = {
  refusedByRule: Reason.REFUSED_BY_RULE,
  queueFull: Reason.QUEUE_FULL,
  deadline: Reason.DEADLINE,
  noPrimary: Reason.NO_PRIMARY,
  noConnection: Reason.NO_CONNECTION,
  noOwner: Reason.NO_OWNER,
  superseded: Reason.SUPERSEDED,
  draining: Reason.DRAINING,
  overloaded: Reason.OVERLOADED,
  storeDown: Reason.STORE_DOWN,
  tooManyConnections: Reason.TOO_MANY_CONNECTIONS,
};

/** Converts an outcome to its message. */
export function encodeOutcome(outcome: Outcome): OutcomeMessage {
  switch (outcome.type) {
    case "answered":
      return create(OutcomeSchema, {
        result: { case: "answered", value: encodeAnswered(outcome) },
      });
    case "failed": {
      const verdict = encodeVerdict(outcome.verdict);
      const value = create(FailedSchema, { message: outcome.message, verdict });
      return create(OutcomeSchema, { result: { case: "failed", value } });
    }
  }
}

/** Converts a message to an outcome. Throws `ConnectError` when the message is malformed. */
export function decodeOutcome({ result }: OutcomeMessage): Outcome {
  switch (result.case) {
    case "answered":
      return decodeAnswered(result.value);
    case "failed": {
      const { message } = result.value;
      return { type: "failed", message, verdict: decodeVerdict(result.value) };
    }
    case undefined:
      throw createMalformedError("an outcome without a result");
  }
}

function encodeAnswered(outcome: Extract<Outcome, { type: "answered" }>): Answered {
  const { mark, servedBy } = outcome;
  return create(AnsweredSchema, {
    status: statuses[outcome.status],
    target: servedBy.target,
    byPrimary: servedBy.role === "primary",
    ...(mark === undefined ? {} : { mark: encodeMark(mark) }),
  });
}

function decodeAnswered({ status, target, byPrimary, mark }: Answered): Outcome {
  return {
    type: "answered",
    status: findKey(statuses, status),
    servedBy: { target, role: byPrimary ? "primary" : "replica" },
    ...(mark === undefined ? {} : { mark: decodeMark(mark) }),
  };
}

function encodeVerdict(
  verdict: Verdict,
): NonNullable<MessageInitShape<typeof FailedSchema>["verdict"]> {
  switch (verdict.type) {
    case "notRun": {
      const { reason, retryAfterMs } = verdict;
      return { case: "notRun", value: { reason: reasons[reason], retryAfterMs } };
    }
    case "mayHaveRun":
      return { case: "mayHaveRun", value: { reason: verdict.reason } };
    case "ran":
      return { case: "ran", value: {} };
  }
}

function decodeVerdict({ verdict }: Failed): Verdict {
  switch (verdict.case) {
    case "notRun": {
      const { reason, retryAfterMs } = verdict.value;
      return { type: "notRun", reason: findKey(reasons, reason), retryAfterMs };
    }
    case "mayHaveRun":
      return { type: "mayHaveRun", reason: verdict.value.reason };
    case "ran":
      return { type: "ran" };
    case undefined:
      throw createMalformedError("a failure without a verdict");
  }
}
