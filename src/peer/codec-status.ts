import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { ControlResult, TargetStatus } from "../model/index.js";
import {
  decodeMark,
  decodeTerm,
  requireField,
  encodeMark,
  encodeTerm,
  createMalformedError,
} from "./codec.js";
import {
  type CheckTargetResponse,
  type CheckTargetResponseSchema,
  type TargetStatus as TargetStatusMessage,
  TargetStatusSchema,
} from "./gen/radishwalk/peer/v1/peer_pb.js";

/** Converts the result of a target check to its message. */
export function encodeControlResult(
  result: ControlResult,
): NonNullable<MessageInitShape<typeof CheckTargetResponseSchema>["result"]> {
  switch (result.type) {
    case "accepted":
      return { case: "accepted", value: encodeStatus(result.status) };
    case "refused":
      return { case: "refused", value: encodeTerm(result.fencedAt) };
    case "unreachable":
      return { case: "unreachable", value: result.reason };
  }
}

/** Converts a message to the result of a target check. Throws `ConnectError` when it is malformed. */
export function decodeControlResult({ result }: CheckTargetResponse): ControlResult {
  switch (result.case) {
    case "accepted":
      return { type: "accepted", status: decodeStatus(result.value) };
    case "refused":
      return { type: "refused", fencedAt: decodeTerm(result.value) };
    case "unreachable":
      return { type: "unreachable", reason: result.value };
    case undefined:
      throw createMalformedError("a target check without a result");
  }
}

function encodeStatus(status: TargetStatus): TargetStatusMessage {
  return create(TargetStatusSchema, {
    target: status.target,
    primary: status.role === "primary",
    mark: encodeMark(status.mark),
    lineage: status.lineage.map(({ term, start }) => ({ term: encodeTerm(term), start })),
    fencedAt: encodeTerm(status.fencedAt),
    follows: status.follows ?? "",
  });
}

function decodeStatus(message: TargetStatusMessage): TargetStatus {
  return {
    target: message.target,
    role: message.primary ? "primary" : "replica",
    mark: decodeMark(requireField(message.mark, "mark")),
    lineage: message.lineage.map(({ term, start }) => ({ term: decodeTerm(term), start })),
    fencedAt: decodeTerm(message.fencedAt),
    ...(message.follows === "" ? {} : { follows: message.follows }),
  };
}
