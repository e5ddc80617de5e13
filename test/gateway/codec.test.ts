import { expect, test } from "@jest/globals";
import { toBinary } from "@bufbuild/protobuf";
import { StatementTrace, type SessionContext } from "../../src/direct/index.js";
import { encodeRun, noTransaction } from "../../src/gateway/codec.js";
import {
  SessionPartSchema,
  type SessionPart,
} from "../../src/peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { group, ProxyFixture } from "../direct/fixture.js";

function encodeSessionPart(acceptsRedirect?: boolean): Uint8Array {
  const { ports, groups } = new ProxyFixture();
  const database = ports.getServingConfig().databases.get("own");
  const directGroup = groups.find(group);
  if (database === undefined || directGroup === undefined) throw new Error("unknown database");
  const context: SessionContext = {
    ports,
    session: "s",
    database,
    team: undefined,
    group: directGroup,
    values: new Map(),
    lastCommit: undefined,
    disconnectSignal: new AbortController().signal,
    trace: new StatementTrace(),
    nextId: () => "1",
  };
  const work = { type: "access", id: "1", effect: "read", text: "READ cello" } as const;
  const step = encodeRun(context, work, 100, noTransaction, acceptsRedirect);
  if (step.case !== "run") throw new Error("not a run step");
  return toBinary(SessionPartSchema, step.value.session as SessionPart);
}

// A gateway of the previous build must get the same message as before where the part is off.
test("a statement that accepts no redirect is encoded without the field", () => {
  const plain = encodeSessionPart();
  expect(encodeSessionPart(false)).toEqual(plain);
  // Field 14 as a variant of one byte, with the value 1.
  expect([...encodeSessionPart(true)]).toEqual([...plain, 0x70, 0x01]);
});
