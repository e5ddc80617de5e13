import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { drawSteps, runSteps } from "../../bench/failover/faultsteps.js";

// Two VMs believe that they own a group while targets die and freeze, links are cut, lose answers or
// go silent, VMs are paused, restarted or deaf, and writes go on in both modes.
// What must hold is checked at each promotion and each acknowledgement, and after all faults have
// ended both VMs must have writes acknowledged again.
test("what must hold holds under any run of faults", async () => {
  const check = fc.asyncProperty(fc.nat(), drawSteps(40), async (seed, steps) => {
    const { violations, isHealed } = await runSteps(seed, steps);
    expect(violations).toEqual([]);
    expect(isHealed).toBe(true);
  });
  await fc.assert(check, { seed: 4, numRuns: 60 });
});
