import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { FailoverScenario } from "./scenario.js";

const replicas = (primary: string) => ["t1", "t2", "t3"].filter((t) => t !== primary);

/** How old a target's data is: the time since the commit of the first record that it lacks. */
function findTrueAge(
  scenario: FailoverScenario,
  commits: ReadonlyMap<number, number>,
  name: string,
): number {
  const missing = commits.get(scenario.group.get(name).log.length + 1);
  return missing === undefined ? 0 : scenario.clock.now() - missing;
}

// Guards against stale reads: a reader that accepts data up to an age must never get older data,
// however far a replica lags.
test("a replica's data is never older than its reported age", async () => {
  const steps = fc.array(
    fc.record({
      waitMs: fc.integer({ min: 1, max: 400 }),
      lagMs: fc.constantFrom(0, 10, 300, 2000),
    }),
    { minLength: 5, maxLength: 30 },
  );
  const check = fc.asyncProperty(steps, async (run) => {
    const scenario = new FailoverScenario();
    const primary = await scenario.waitUntilSteady();
    const commits = new Map<number, number>();
    for (const [i, { waitMs, lagMs }] of run.entries()) {
      for (const name of replicas(primary)) scenario.group.get(name).lagMs = lagMs;
      const mark = scenario.group.get(primary).commit(`age${i}`);
      scenario.group.replicate();
      if (mark !== undefined) commits.set(mark.offset, scenario.clock.now());
      await scenario.clock.advance(waitMs);
      for (const name of replicas(primary)) {
        const age = scenario.fleet.watch("v1").findMaxAgeMs(name, scenario.clock.now()) ?? Infinity;
        expect(age).toBeGreaterThanOrEqual(findTrueAge(scenario, commits, name));
      }
    }
    await scenario.end();
  });
  await fc.assert(check, { seed: 7, numRuns: 25 });
});

test("the reported age of replicas stays low in an idle group", async () => {
  const scenario = new FailoverScenario();
  const [name = ""] = replicas(await scenario.waitUntilSteady());
  await scenario.clock.advance(3000);
  expect(scenario.fleet.watch("v1").findMaxAgeMs(name, scenario.clock.now())).toBeLessThan(500);
  await scenario.end();
});

// Guards against stale reads on the minority side of a partition. The old primary still answers
// there, but the end of its log is no longer the group's, since a new primary has taken over.
test("reported ages increase at an observer that is partitioned from the majority", async () => {
  const scenario = new FailoverScenario();
  const primary = await scenario.waitUntilSteady();
  await scenario.clock.advance(1000);
  scenario.fleet.setPartition("v1", primary, true);
  await scenario.clock.advance(3000);
  const age = scenario.fleet.watch("v1").findMaxAgeMs(primary, scenario.clock.now()) ?? Infinity;
  expect(age).toBeGreaterThanOrEqual(2500);
  await scenario.end();
});
