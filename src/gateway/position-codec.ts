import type { MessageInitShape } from "@bufbuild/protobuf";
import type { AgedPosition, SharedPositions } from "../direct/index.js";
import type {
  GatewayPositions,
  GatewayPositionsSchema,
  PrimaryPosition,
  ReplicaPosition,
} from "../peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { decodeMark, encodeMark } from "./codec.js";

/** The greatest age that the message holds, in milliseconds. */
const maxAgeMs = 2 ** 32 - 1;

/** What was decoded, and the first part that is invalid and was left out. */
export interface DecodedPositions {
  readonly positions: SharedPositions;
  readonly invalid: string | undefined;
}

/** Encodes a gateway's positions. Ages are rounded up, so that no position appears younger than it is. */
export function encodePositions({
  primary,
  replicas,
}: SharedPositions): MessageInitShape<typeof GatewayPositionsSchema> {
  return {
    ...(primary === undefined ? {} : { primary: encodePosition(primary) }),
    replicas: replicas.map(encodePosition),
  };
}

/**
 * Decodes a gateway's positions. One whose mark is missing or no whole number is left out: compared with others it
 * would be neither older nor newer, and would extend the validity of an old one.
 */
export function decodePositions({ primary, replicas }: GatewayPositions): DecodedPositions {
  const sent = primary === undefined ? replicas : [primary, ...replicas];
  const invalid = sent.find((position) => decodePosition(position) === undefined);
  return {
    positions: {
      primary: primary && decodePosition(primary),
      replicas: replicas.flatMap((replica) => decodePosition(replica) ?? []),
    },
    invalid: invalid && `${invalid.target}: ${invalid.mark?.offset}@${invalid.mark?.round}`,
  };
}

function encodePosition({ target, mark, ageMs }: AgedPosition) {
  const rounded = Math.min(maxAgeMs, Math.max(0, Math.ceil(ageMs)));
  return { target, mark: encodeMark(mark), ageMs: rounded };
}

function decodePosition({
  target,
  mark,
  ageMs,
}: PrimaryPosition | ReplicaPosition): AgedPosition | undefined {
  if (mark === undefined || !isCount(mark.offset) || !isCount(mark.round)) return undefined;
  return { target, mark: decodeMark(mark), ageMs };
}

function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
