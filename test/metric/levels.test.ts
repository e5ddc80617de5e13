import { expect, test } from "@jest/globals";
import { createMetrics } from "../../src/metric/index.js";

test("waits, refusals and missed objectives are exported by group and level", async () => {
  const { levels, render } = createBoth();
  levels.recordAdmission({ group: "g", level: 0, waitMs: 20 });
  levels.recordAdmission({ group: "g", level: 2, waitMs: 5, refusedFor: "deadline" });
  levels.recordObjectiveMissed("g", 1);
  const page = await render();
  expect(page).toContain('radishwalk_admission_wait_seconds_count{group="g",level="0"} 1');
  expect(page).toContain(
    'radishwalk_admission_wait_seconds_bucket{le="0.03",group="g",level="0"} 1',
  );
  expect(page).toContain(
    'radishwalk_admission_refused_total{group="g",level="2",reason="deadline"} 1',
  );
  expect(page).toContain('radishwalk_objective_missed_total{group="g",level="1"} 1');
});

// Guards against a configuration with many levels that grows the metrics without a bound.
test("levels beyond the limit are counted as other", async () => {
  const { levels, render } = createBoth();
  for (let level = 0; level < 50; level += 1) levels.recordObjectiveMissed("g", level);
  expect(await render()).toContain('radishwalk_objective_missed_total{group="g",level="other"} 30');
});

function createBoth() {
  const metrics = createMetrics();
  return { levels: metrics.levels, render: () => metrics.render() };
}
