import { expect, test } from "@jest/globals";
import type { Database } from "../../src/direct/index.js";
import { EntryLoads } from "../../src/gateway/index.js";
import type { LoadCandidate } from "../../src/gateway/load-choice.js";
import { encodeLoad, type LoadReport } from "../../src/gateway/load-codec.js";
import { gatewayEvents } from "../../src/log/events/gateway.js";
import type { LogEvent, LogFields } from "../../src/log/index.js";
import { makeDatabase } from "../direct/fixture.js";
import { FakeClock, makeRandom } from "../fleet/fakes.js";

const group = "ledger";
const statement = { group, role: "replica", level: 2 } as const;

/** The reports of one entry node, whose routes have the levels 0 to 2. */
function createLoads(seed = 1) {
  const clock = new FakeClock();
  const lines: { readonly event: LogEvent; readonly fields: LogFields | undefined }[] = [];
  const state = { isSlotPlanned: true, gateways: ["a", "b"], refusedLevels: [] as number[] };
  const databases = new Map<string, Database>(
    [0, 1, 2].map((level) => {
      const database = makeDatabase(`l${level}`, { type: "replica" });
      return [database.name, { ...database, action: { ...database.action, level } }];
    }),
  );
  const config = { databases };
  const loads = new EntryLoads({
    clock,
    random: makeRandom(seed),
    logger: { write: (event, fields) => lines.push({ event, fields }) },
    isSlotPlanned: () => state.isSlotPlanned,
    getServingConfig: () => config,
    isGateway: (_group, vm) => state.gateways.includes(vm),
    onRefused: (_group, level) => state.refusedLevels.push(level),
  });
  const record = (vm: string, report: Partial<LoadReport> = {}) => {
    const closed = { waitMs: 100, lowestLevel: 1 };
    loads.record(vm, encodeLoad({ group, role: "replica", ageMs: 0, ...closed, ...report }));
  };
  return { loads, record, state, clock, lines };
}

/** Between seeds whose first numbers differ. */
const seedStep = 104_729;

const describe = (vm: string): Omit<LoadCandidate, "load"> => ({
  vm,
  rank: 0,
  distanceMs: 0,
  isAvoided: false,
  isLocal: false,
});
const gateways = ["a", "b"].map(describe);

/** Counts the lines of an event. */
const countLines = (lines: readonly { readonly event: LogEvent }[], { id }: LogEvent): number =>
  lines.filter(({ event }) => event.id === id).length;

test("a closed level is refused with a hint and counted, and its closing is logged once", () => {
  const { loads, record, state, lines } = createLoads();
  for (const vm of ["a", "b"]) record(vm);
  for (let i = 0; i < 5; i += 1) {
    const refusal = loads.findRefusal(statement, gateways);
    expect(refusal?.retryAfterMs).toBeGreaterThanOrEqual(100);
    expect(refusal?.retryAfterMs).toBeLessThan(200);
  }
  expect(state.refusedLevels).toEqual([2, 2, 2, 2, 2]);
  expect(countLines(lines, gatewayEvents.levelClosed)).toBe(1);
  expect(loads.findRefusal({ ...statement, level: 1 }, gateways)).toBeUndefined();
  expect(loads.findRefusal({ ...statement, level: 0 }, gateways)).toBeUndefined();
});

// Guards against hints so short that callers use up their attempts while the level stays closed, as the wait of the
// most important level says little about it.
test("the hint grows with the time that the level has been closed, also over statements sent in between", () => {
  const { loads, record, clock } = createLoads();
  const findHint = () => {
    for (const vm of ["a", "b"]) record(vm, { waitMs: 0, lowestLevel: 1 });
    return loads.findRefusal(statement, gateways)?.retryAfterMs;
  };
  expect(findHint()).toBeLessThan(100);
  for (let i = 0; i < 4; i += 1) {
    clock.time += 99;
    findHint();
    clock.time += 11;
    findHint();
    clock.time += 101;
    // The reports are too old, so that it is sent.
    expect(loads.findRefusal(statement, gateways)).toBeUndefined();
  }
  const hint = findHint();
  expect(hint).toBeGreaterThanOrEqual(844);
  expect(hint).toBeLessThan(2000);
  clock.time += 1000;
  expect(findHint()).toBeUndefined();
  expect(findHint()).toBeLessThan(100);
});

// Guards against a log that a level fills which closes and opens with each report.
test("a level that opens is sent at once, and logged at most once a second", () => {
  const { loads, record, lines, clock } = createLoads();
  for (let i = 0; i < 10; i += 1) {
    for (const vm of ["a", "b"]) record(vm);
    expect(loads.findRefusal(statement, gateways)).toBeDefined();
    record("b", { lowestLevel: 2 });
    expect(loads.findRefusal(statement, gateways)).toBeUndefined();
    clock.time += 50;
  }
  expect(lines).toHaveLength(1);
  clock.time += 1000;
  loads.findRefusal(statement, gateways);
  expect(countLines(lines, gatewayEvents.levelOpened)).toBe(1);
});

// Guards against statements for the primary that are refused by the replicas' load, and the reverse.
test("a report of one role does not decide about the other", () => {
  const { loads, record } = createLoads();
  for (const vm of ["a", "b"]) record(vm);
  expect(loads.findRefusal({ ...statement, role: "primary" }, gateways)).toBeUndefined();
  for (const vm of ["a", "b"]) record(vm, { role: "primary" });
  expect(loads.findRefusal({ ...statement, role: "primary" }, gateways)).toBeDefined();
});

// Guards against refusals by a gateway that no longer holds connections for the group: others took its place.
test("a report of a proxy that is no gateway of the group any more is dropped", () => {
  const { loads, record, state } = createLoads();
  record("a");
  record("b");
  state.gateways = ["a"];
  record("b");
  expect(loads.findRefusal(statement, gateways)).toBeUndefined();
});

// Guards against decisions by what a gateway said before it restarted.
test("the reports of a lost connection are dropped with it", () => {
  const { loads, record } = createLoads();
  for (const vm of ["a", "b"]) record(vm);
  loads.forget("a");
  expect(loads.findRefusal(statement, gateways)).toBeUndefined();
});

// Guards against a log that a broken gateway fills, and a valid report that is lost with an invalid one.
test("an invalid report is logged once with its value and leaves the last one in effect", () => {
  const { loads, record, lines } = createLoads();
  for (const vm of ["a", "b"]) record(vm);
  for (let i = 0; i < 3; i += 1) record("a", { ageMs: 4_000_000, lowestLevel: 2 });
  expect(countLines(lines, gatewayEvents.loadReportInvalid)).toBe(1);
  expect(lines[0]?.fields).toMatchObject({ gateway: "a", reason: "the age is 4000000 ms" });
  expect(loads.findRefusal(statement, gateways)).toBeDefined();
});

// Guards against entry nodes with the same reports that move all statements together.
test("entry nodes with the same reports move a part of their statements each", () => {
  const firsts = Array.from({ length: 100 }, (_, seed) => {
    const { loads, record } = createLoads(seed * seedStep);
    record("a", { waitMs: 100 });
    record("b", { waitMs: 50 });
    return loads.order({ ...statement, level: 0 }, ["a", "b"], describe)[0];
  });
  const moved = firsts.filter((vm) => vm === "b").length;
  expect(moved).toBeGreaterThan(25);
  expect(moved).toBeLessThan(75);
});

// Guards against a gateway that never reports, and so never gets statements, as it stands second.
test("a gateway without a report gets one statement a second while the first is loaded", () => {
  const { loads, record, clock } = createLoads();
  const findFirst = () => {
    record("a", { waitMs: 100 });
    return loads.order({ ...statement, level: 0 }, ["a", "b"], describe)[0];
  };
  expect([findFirst(), findFirst(), findFirst()]).toEqual(["b", "a", "a"]);
  clock.time += 1000;
  expect([findFirst(), findFirst()]).toEqual(["b", "a"]);
});

// Guards against a deployment without regions and levels whose decisions change.
test("where slots are not planned nothing is kept or decided", () => {
  const { loads, record, state, lines } = createLoads();
  for (const vm of ["a", "b"]) record(vm);
  state.isSlotPlanned = false;
  expect(loads.findRefusal(statement, gateways)).toBeUndefined();
  record("a", { waitMs: 900 });
  expect(loads.order(statement, ["a", "b"], describe)).toEqual(["a", "b"]);
  state.isSlotPlanned = true;
  expect(loads.findRefusal(statement, gateways)).toBeUndefined();
  expect(countLines(lines, gatewayEvents.levelClosed)).toBe(0);
});
