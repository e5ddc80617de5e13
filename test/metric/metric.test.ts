import { expect, test } from "@jest/globals";
import { createMetrics, HealthServer, type HealthState } from "../../src/metric/index.js";
import { assertInvariant, invariants } from "../../src/model/index.js";

test("the read ratio, the failover gap and every invariant are exported from the start", async () => {
  const page = await createMetrics().render();
  expect(page).toContain("radishwalk_replica_read_ratio 0");
  expect(page).toContain("# TYPE radishwalk_failover_gap_seconds histogram");
  for (const invariant of invariants) {
    expect(page).toContain(`radishwalk_invariant_violations_total{invariant="${invariant}"} 0`);
  }
});

test("the read ratio follows the reads, and groups beyond the limit are counted as other", async () => {
  const metrics = createMetrics();
  for (let i = 0; i < 300; i++) metrics.recordRead(`g${i}`, i % 4 === 0 ? "primary" : "replica");
  const page = await metrics.render();
  expect(page).toContain("radishwalk_replica_read_ratio 0.75");
  expect(page).toContain('radishwalk_reads_total{group="other",role="replica"} 75');
});

test("requests to another region are counted by kind", async () => {
  const metrics = createMetrics();
  for (const kind of ["read", "read", "write", "transaction", "control"] as const) {
    metrics.recordCrossing(kind);
  }
  const page = await metrics.render();
  expect(page).toContain('radishwalk_region_crossings_total{kind="read"} 2');
  expect(page).toContain('radishwalk_region_crossings_total{kind="write"} 1');
  expect(page).toContain('radishwalk_region_crossings_total{kind="transaction"} 1');
  expect(page).toContain('radishwalk_region_crossings_total{kind="control"} 1');
});

test("a violated invariant is counted and reported until the previous handler is restored", async () => {
  const metrics = createMetrics();
  const reported: string[] = [];
  const observed = metrics.observeViolations((invariant) => void reported.push(invariant));
  assertInvariant("atMostOnce", false, () => "twice");
  await observed.dispose();
  expect(reported).toEqual(["atMostOnce"]);
  expect(await metrics.render()).toContain('total{invariant="atMostOnce"} 1');
  expect(() => {
    assertInvariant("atMostOnce", false, () => "twice");
  }).toThrow("atMostOnce");
});

// Guards against metrics of targets that are gone, and of deployments that do not plan slots.
test("the metrics of slots show what is read at that moment", async () => {
  const metrics = createMetrics();
  expect(await metrics.render()).not.toContain("radishwalk_slots{");
  let samples = [
    { group: "ledger", target: "p", running: 3, free: 2, idle: 4 },
    { group: "ledger", target: "q", running: 0, free: 1, idle: 1 },
  ];
  metrics.observeSlots(() => samples);
  const text = await metrics.render();
  expect(text).toContain('radishwalk_slots{group="ledger",target="p",state="running"} 3');
  expect(text).toContain('radishwalk_slots{group="ledger",target="p",state="free"} 2');
  expect(text).toContain('radishwalk_transactions_idle{group="ledger"} 5');
  samples = samples.slice(1);
  expect(await metrics.render()).not.toContain('target="p"');
});

// Guards against a share that stays in the metrics after its gateway has been replaced.
test("the shares of gateways are read when the metrics are rendered", async () => {
  const metrics = createMetrics();
  let samples = [
    { gateway: "vm-1", share: 0.1 },
    { gateway: "vm-2", share: 0.98 },
  ];
  metrics.observeGatewayShares(() => samples);
  expect(await metrics.render()).toContain('radishwalk_gateway_share{gateway="vm-1"} 0.1');
  samples = samples.slice(1);
  const text = await metrics.render();
  expect(text).toContain('radishwalk_gateway_share{gateway="vm-2"} 0.98');
  expect(text).not.toContain("vm-1");
});

// The balancer sends callers to a proxy whose /ready page answers 200. A new proxy does not know the
// rules yet, and a leaving one must get no new callers. Both are alive, so only /ready may answer 503.
test("the process is ready only with a configuration and not while leaving", async () => {
  let state: HealthState = { isConfigurationKnown: false, isLeaving: false };
  let drains = 0;
  const server = new HealthServer({
    metrics: createMetrics(),
    getState: () => state,
    getReport: () => ({ vm: "a" }),
    startDrain: () => void (drains += 1),
  });
  const { port } = await server.listen({ host: "127.0.0.1", port: 0 });
  const ask = (path: string, method = "GET") =>
    fetch(`http://127.0.0.1:${port}${path}`, { method, headers: { connection: "close" } });
  expect((await ask("/ready")).status).toBe(503);
  state = { isConfigurationKnown: true, isLeaving: false };
  expect((await ask("/ready")).status).toBe(200);
  state = { isConfigurationKnown: true, isLeaving: true };
  expect(await (await ask("/ready")).json()).toEqual({ status: "not ready", reasons: ["leaving"] });
  expect((await ask("/health")).status).toBe(200);
  expect(await (await ask("/report")).json()).toEqual({ vm: "a" });
  expect((await ask("/drain")).status).toBe(404);
  expect((await ask("/drain", "POST")).status).toBe(202);
  expect(drains).toBe(1);
  await server.dispose();
});

test("statements that are refused by load reports are counted by group and level", async () => {
  const metrics = createMetrics();
  metrics.levels.recordEntryRefusal("ledger", 2);
  expect(await metrics.render()).toContain(
    'radishwalk_entry_refused_total{group="ledger",level="2"} 1',
  );
});

test("redirects are counted by group", async () => {
  const metrics = createMetrics();
  metrics.recordRedirect("ledger");
  metrics.recordRedirect("ledger");
  expect(await metrics.render()).toContain('radishwalk_redirects_total{group="ledger"} 2');
});

// Guards against delays of replicas that are gone, and values where replicas' positions are not used.
test("the estimated delays of replicas and wrong estimates are exported", async () => {
  const metrics = createMetrics();
  expect(await metrics.render()).not.toContain("radishwalk_replica_delay_seconds{");
  metrics.replicas.observe(() => [{ group: "ledger", target: "q", delayMs: 150 }]);
  metrics.replicas.recordExpectedWrong("ledger");
  const page = await metrics.render();
  expect(page).toContain('radishwalk_replica_delay_seconds{group="ledger",target="q"} 0.15');
  expect(page).toContain('radishwalk_reads_expected_wrong_total{group="ledger"} 1');
});
