import { expect, test } from "@jest/globals";
import { runSoak } from "../../standin/soak/index.js";

const rounds = 2;
/** No bound on speed: a busy machine may take long over what must hold all the same. */
const patienceMs = 120_000;

// Each seed draws its faults and its callers' work. The callers heard verdicts; the targets hold rows.
// They must agree after every round, whatever order the machine ran things in.
test.each([
  { seed: 3, faults: ["freezeTarget"] as const },
  { seed: 6, faults: undefined },
])(
  "what callers were told holds after faults: seed $seed",
  async ({ seed, faults }) => {
    const report = await runSoak({
      seed,
      shouldContinue: (done) => done < rounds,
      ...(faults === undefined ? {} : { faults }),
    });
    expect(report.trace).toBe("");
    expect(report).toMatchObject({ breaches: [], rounds });
  },
  patienceMs,
);
