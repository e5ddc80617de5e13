import { afterEach, expect, test } from "@jest/globals";
import { createRandom, generateArrivals } from "../../src/load/arrivals.js";
import {
  formatReport,
  loadLoadSettings,
  runLoad,
  type LoadSettings,
} from "../../src/load/index.js";
import { DisposableStore, type Address } from "../../src/model/index.js";
import type { StandinTarget } from "../../standin/target/index.js";
import { startTargets } from "../standin/build.js";

let store = new DisposableStore();

afterEach(async () => {
  await store.dispose();
  store = new DisposableStore();
});

const start = (count: number) => startTargets(store, count);

function load(entries: readonly Address[], work: string, more = "") {
  const text = `
duration: 300ms
entries: [${entries.map((e) => `"${e.host}:${e.port}"`).join()}]
populations:
  - name: counter
    team: casa
    group: ledger
    rate: 200
    sessions: 4
    work: { ${work} }
    ${more}`;
  const loaded = loadLoadSettings(text, "load.yaml");
  if (loaded.type === "faulty") throw new Error(JSON.stringify(loaded.faults));
  return runLoad(loaded.value, "run");
}

/** Calls `injectFault` at the first committed reservation, when the set-up is certain to be complete. */
function onFirstReservation(target: StandinTarget, injectFault: () => void): void {
  const stop = target.member.subscribe(() => {
    if (target.statements.list("kind='reservation'").length === 0) return;
    stop();
    injectFault();
  });
}

test("settings have defaults, and unknown keys are reported", () => {
  const loaded = loadLoadSettings("duration: 1s\nentries: []\nspeed: 3", "load.yaml");
  const messages = loaded.type === "faulty" ? loaded.faults.map((f) => `${f.line} ${f.path}`) : [];
  expect(messages).toContain("3 speed");
  const example =
    "duration: 1s\nentries: ['10.0.0.1:1']\npopulations:\n  - { name: a, team: a, group: a, rate: 1, sessions: 1, work: {} }";
  const fine = loadLoadSettings(example, "load.yaml") as { readonly value?: LoadSettings };
  expect(fine.value).toMatchObject({ seed: 1, warmUp: 0, populations: [{ attempts: 5 }] });
});

test("arrivals are the same for the same seed and have the given rate", () => {
  const draw = (stream: number) => [...generateArrivals(createRandom(7, stream), 100, 60_000)];
  expect(draw(0)).toEqual(draw(0));
  expect(draw(0)).not.toEqual(draw(1));
  expect(draw(0).length).toBeGreaterThan(5_700);
  expect(draw(0).length).toBeLessThan(6_300);
});

test("a run on a healthy target commits everything and reports no violation", async () => {
  const [target] = await start(1);
  if (target === undefined) throw new Error("no target");
  const report = await load([target.address], "reservation: 1, ownRead: 1, browse: 1");
  expect(report.violations).toEqual({ readYourWrites: 0, atMostOnce: 0, samples: [] });
  expect([report.unfinished, report.unverified]).toEqual([0, 0]);
  expect(report.tallies.map((t) => t.work)).toEqual(["reservation", "ownRead", "browse"]);
  for (const { counts, latency } of report.tallies) {
    expect(counts).toEqual({ landed: latency.count, notRun: 0, mayHaveRun: 0, failed: 0 });
  }
  expect(formatReport(report)).toContain("reservations that landed twice: 0");
});

// The connection breaks after a commit took effect, and the tool repeats the reservation with the same
// key. A target without a proxy ignores idempotency keys, so the reservation runs twice. The session
// then reads a count above its reservations, and the tool must report it.
test("a reservation that runs twice is reported", async () => {
  const [target] = await start(1);
  if (target === undefined) throw new Error("no target");
  onFirstReservation(target, () => target.faults.loseCommitAnswers(1, "break"));
  const report = await load([target.address], "reservation: 1");
  expect(report.violations.atMostOnce).toBeGreaterThan(0);
});

// Sessions switch between the primary and a replica that does not replicate. There they read a count
// from before their own reservations, or no row at all; both violate read-your-writes.
test("a violation of read-your-writes is reported", async () => {
  const [primary, replica] = await start(2);
  if (primary === undefined || replica === undefined) throw new Error("no targets");
  onFirstReservation(primary, () => replica.setLag(3_600_000));
  const work = "reservation: 1, ownRead: 4";
  const report = await load([primary.address, replica.address], work, "roamEvery: 3");
  expect(report.violations.readYourWrites).toBeGreaterThan(0);
  expect(report.tallies[0]?.states).toHaveProperty("25006");
});
