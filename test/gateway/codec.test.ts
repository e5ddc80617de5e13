import { expect, test } from "@jest/globals";
import { toBinary } from "@bufbuild/protobuf";
import { encodeRun, noTransaction } from "../../src/gateway/codec.js";
import {
  SessionPartSchema,
  type SessionPart,
} from "../../src/peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { ProxyFixture } from "../direct/fixture.js";
import { createContext } from "./redirect-fleet.js";

function encodeSessionPart(acceptsRedirect?: boolean): Uint8Array {
  const context = createContext(new ProxyFixture());
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
