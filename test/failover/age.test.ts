import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { Scene } from "./scene.js";

const replicas = (primary: string) => ["t1", "t2", "t3"].filter((t) => t !== primary);

/** How old a target's data is: since when the first record that it lacks has been committed. */
function findTrueAge(scene: Scene, commits: ReadonlyMap<number, number>, name: string): number {
  const missing = commits.get(scene.group.get(name).log.length + 1);
  return missing === undefined ? 0 : scene.clock.now() - missing;
}

// A reader that accepts data of a stated age must never get older data, however far a replica lags.
test("a replica's data is never older than its stated age", async () => {
  const steps = fc.array(
    fc.record({
      waitMs: fc.integer({ min: 1, max: 400 }),
      lagMs: fc.constantFrom(0, 10, 300, 2000),
    }),
    { minLength: 5, maxLength: 30 },
  );
  const check = fc.asyncProperty(steps, async (run) => {
    const scene = new Scene();
    const primary = await scene.settle();
    const commits = new Map<number, number>();
    for (const [i, { waitMs, lagMs }] of run.entries()) {
      for (const name of replicas(primary)) scene.group.get(name).lagMs = lagMs;
      const mark = scene.group.get(primary).commit(`age${i}`);
      scene.group.replicate();
      if (mark !== undefined) commits.set(mark.offset, scene.clock.now());
      await scene.clock.advance(waitMs);
      for (const name of replicas(primary)) {
        const age = scene.fleet.watch("v1").findMaxAgeMs(name, scene.clock.now()) ?? Infinity;
        expect(age).toBeGreaterThanOrEqual(findTrueAge(scene, commits, name));
      }
    }
    await scene.end();
  });
  await fc.assert(check, { seed: 7, numRuns: 25 });
});

test("an idle group's replicas are known to be young", async () => {
  const scene = new Scene();
  const [name = ""] = replicas(await scene.settle());
  await scene.clock.advance(3000);
  expect(scene.fleet.watch("v1").findMaxAgeMs(name, scene.clock.now())).toBeLessThan(500);
  await scene.end();
});

// A reader on the minority side would otherwise get data that the new primary has long replaced:
// the old primary is still there, and shows an end of the log that is no longer the group's.
test("ages grow at an observer that is parted from the majority", async () => {
  const scene = new Scene();
  const primary = await scene.settle();
  await scene.clock.advance(1000);
  scene.fleet.setPartition("v1", primary, true);
  await scene.clock.advance(3000);
  const age = scene.fleet.watch("v1").findMaxAgeMs(primary, scene.clock.now()) ?? Infinity;
  expect(age).toBeGreaterThanOrEqual(2500);
  await scene.end();
});
