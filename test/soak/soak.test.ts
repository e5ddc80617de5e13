import { expect, test } from "@jest/globals";
import { runSoak } from "../../standin/soak/index.js";

const rounds = 2;
/** Not a limit on speed: the checks must also pass on a slow machine. */
const testTimeoutMs = 120_000;

// Each seed determines the faults and the operations of the sessions. After every round the stored rows
// must agree with the verdicts that callers received, whatever the timing of the run.
test.each([
  { seed: 3, faults: ["freezeTarget"] as const },
  { seed: 6, faults: undefined },
])(
  "stored rows agree with the verdicts after faults: seed $seed",
  async ({ seed, faults }) => {
    const report = await runSoak({
      seed,
      shouldContinue: (done) => done < rounds,
      ...(faults === undefined ? {} : { faults }),
    });
    expect(report.trace).toBe("");
    expect(report).toMatchObject({ breaches: [], rounds });
  },
  testTimeoutMs,
);
