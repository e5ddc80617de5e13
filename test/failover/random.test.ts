import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { drawSteps, runSteps } from "../../bench/failover/faultsteps.js";

// Two VMs both act as owner of a group under random faults: targets crash and freeze, links are
// cut, lose answers or hang, and VMs are paused, restarted or cut off from their peers. Writes
// continue in both acknowledgement modes. The invariants are checked at each promotion and each
// acknowledgement. After all faults have ended, writes through both VMs must be acknowledged again.
test("the invariants hold under random sequences of faults", async () => {
  const check = fc.asyncProperty(fc.nat(), drawSteps(40), async (seed, steps) => {
    const { violations, isHealed } = await runSteps(seed, steps);
    expect(violations).toEqual([]);
    expect(isHealed).toBe(true);
  });
  await fc.assert(check, { seed: 4, numRuns: 60 });
});
