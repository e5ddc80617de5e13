import { create } from "@bufbuild/protobuf";
import {
  GatewayLoadSchema,
  GatewayRole,
  type GatewayLoad,
} from "../peer/gen/radishwalk/direct/v1/gateway_pb.js";
import type { LoadFigures, LoadRole } from "./load-figures.js";

/** A gateway's report about its load. */
export interface LoadReport extends LoadFigures {
  readonly group: string;
  readonly role: LoadRole;
  /** How old the figures were when they were sent. */
  readonly ageMs: number;
}

/** Encodes a report. */
export function encodeLoad({ waitMs, lowestLevel, group, role, ageMs }: LoadReport): GatewayLoad {
  return create(GatewayLoadSchema, {
    waitMs: Math.ceil(waitMs),
    ...(lowestLevel === undefined ? {} : { lowestLevel }),
    group,
    role: role === "primary" ? GatewayRole.PRIMARY : GatewayRole.REPLICA,
    ageMs: Math.max(0, Math.ceil(ageMs)),
  });
}

/** Decodes a report; undefined when its role is unknown here, as a newer build may send it. */
export function decodeLoad(load: GatewayLoad): LoadReport | undefined {
  const { waitMs, lowestLevel, group, ageMs } = load;
  const role = decodeRole(load.role);
  if (role === undefined) return undefined;
  return { waitMs, ...(lowestLevel === undefined ? {} : { lowestLevel }), group, role, ageMs };
}

function decodeRole(role: GatewayRole): LoadRole | undefined {
  switch (role) {
    case GatewayRole.PRIMARY:
      return "primary";
    case GatewayRole.REPLICA:
      return "replica";
    case GatewayRole.UNSPECIFIED:
      return undefined;
  }
}
