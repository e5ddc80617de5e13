import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { decodeTargetAnswer, encodeTargetAnswer } from "../../src/directpeer/codec.js";
import type { TargetAnswer } from "../../src/leadership/index.js";
import { AskTargetResponseSchema } from "../../src/peer/gen/radishwalk/direct/v1/direct_pb.js";

const report = fc.record({
  role: fc.constantFrom("primary" as const, "replica" as const),
  received: fc.record({
    term: fc.record({ round: fc.nat(), vm: fc.constant("") }),
    offset: fc.nat(),
  }),
  round: fc.nat(),
  lagMs: fc.nat(),
});

const answers: fc.Arbitrary<TargetAnswer> = fc.oneof(
  report.map((known) => ({ type: "report", report: known }) as const),
  fc.constant({ type: "alive" } as const),
  fc.constant({ type: "silent" } as const),
);

test("a target's answer is decoded unchanged by another proxy", () => {
  fc.assert(
    fc.property(answers, (answer) => {
      const message = create(AskTargetResponseSchema, encodeTargetAnswer(answer));
      const bytes = toBinary(AskTargetResponseSchema, message);
      expect(decodeTargetAnswer(fromBinary(AskTargetResponseSchema, bytes))).toEqual(answer);
    }),
    { seed: 7 },
  );
});
