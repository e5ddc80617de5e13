import { expect, test } from "@jest/globals";
import {
  applyRoutes,
  applyTargets,
  decodeGroupTargets,
  encodeGroupTargets,
  findOutdatedRecords,
  initialFeedState,
  buildServingConfig,
  recordStoreAnswer,
  restoreMissingTargets,
  type GroupRecord,
  type ListedTarget,
} from "../../src/feed/index.js";
import type { Json } from "../../src/model/index.js";
import { listed } from "./builders.js";

const routes = {
  revision: 1,
  databases: new Map(),
  connections: new Map([["g", 16]]),
  transactionIdleMs: 3000,
  lineTimeoutMs: 3000,
};

const record = (...entries: readonly ListedTarget[]): GroupRecord => ({
  group: "g",
  targets: entries.map(({ target }) => target),
  version: 3,
});

const start = (targets: readonly ListedTarget[], records: readonly GroupRecord[]) => {
  const listing = { targets, invalidEntries: [] };
  const state = applyTargets(
    recordStoreAnswer(applyRoutes(initialFeedState, routes), 0),
    listing,
    0,
  );
  return restoreMissingTargets(state, listing, records, 0);
};

const listNames = (state: Parameters<typeof buildServingConfig>[0]) =>
  (buildServingConfig(state).groups.get("g")?.targets ?? []).map((t) => t.name);

// All machines lose power while the store is unavailable, and entries expire. The restarted processes have
// no earlier listing, and the primary's entry is missing for more than a second. They use the recorded
// targets, and the store's listing alone once the grace period is over.
test("a process that starts knows the recorded targets whose entries have expired", () => {
  const primary = listed("p", 1, { announcedRole: "primary" });
  let state = start([listed("r", 2)], [record(primary, listed("r", 2))]);
  expect(listNames(state).sort()).toEqual(["p", "r"]);
  state = applyTargets(state, { targets: [listed("r", 2)], invalidEntries: [] }, 2000);
  expect(listNames(state).sort()).toEqual(["p", "r"]);
  state = applyTargets(state, { targets: [listed("r", 2)], invalidEntries: [] }, 2600);
  expect(listNames(state)).toEqual(["r"]);
});

test("a recorded target is not restored if it was leaving, was replaced or has an invalid entry", () => {
  const known = record(
    listed("leaving", 1, { isLeaving: true }),
    listed("replaced", 2),
    listed("stray", 3),
  );
  const listing = {
    targets: [listed("new", 2)],
    invalidEntries: [{ name: "stray", field: "state" }],
  };
  const state = applyTargets(applyRoutes(initialFeedState, routes), listing, 0);
  expect(listNames(restoreMissingTargets(state, listing, [known], 0))).toEqual(["new"]);
});

test("only records that changed are written, whatever the order of the entries", () => {
  const state = start([listed("b", 2), listed("a", 1)], []);
  const [change] = findOutdatedRecords(state, []);
  expect(change).toMatchObject({ group: "g", version: 0 });
  expect(findOutdatedRecords(state, [record(listed("a", 1), listed("b", 2))])).toEqual([]);
  const moved = record(listed("a", 1), listed("b", 2, { announcedRole: "primary" }));
  expect(findOutdatedRecords(state, [moved])).toMatchObject([{ group: "g", version: 3 }]);
});

test("a record is decoded as it was encoded, and a malformed one is not decoded", () => {
  const { targets } = record(listed("a", 1, { startedAt: 7 }));
  expect(decodeGroupTargets(encodeGroupTargets({ targets }))).toEqual({ targets });
  const stray = { targets: [{ name: "a", address: { host: "h" } }] };
  for (const value of [
    null,
    3,
    "x",
    {},
    { targets: 3 },
    { targets: [{ name: 4 }] },
    { targets: [null] },
    stray,
  ]) {
    expect(decodeGroupTargets(value)).toBeUndefined();
  }
});

// A foreign field that is nested too deeply was taken over, and could not be encoded for a peer or for the record.
test("only the known fields of a recorded target are taken over", () => {
  const { targets } = record(listed("a", 1, { isLeaving: true }));
  const depth = 100_000;
  const extra = JSON.parse("[".repeat(depth) + "]".repeat(depth)) as Json;
  const value = { targets: [{ ...targets[0], extra }] } as unknown as Json;
  expect(decodeGroupTargets(value)).toEqual({ targets });
  const outOfRange = { ...targets[0], address: { host: "h", port: 65_536 } };
  expect(decodeGroupTargets({ targets: [outOfRange] })).toBeUndefined();
});

// Once a crashed replica's entry has expired, nothing but the record tells a new process that it may have commits.
test("the record of a synchronous group keeps targets that are gone, except those whose log was taken over", () => {
  const current = start([listed("a", 1)], []);
  const synchronous = {
    ...current,
    routes: { ...routes, synchronousGroups: new Set(["g"]) },
  };
  const known = record(listed("a", 1), listed("gone", 2), listed("moved", 1, { isLeaving: true }));
  const [change] = findOutdatedRecords(synchronous, [known]);
  expect(change?.former?.map(({ name }) => name)).toEqual(["gone"]);
  const written = { ...known, ...change, version: 4 };
  expect(findOutdatedRecords(synchronous, [written])).toEqual([]);
  expect(decodeGroupTargets(encodeGroupTargets(written))?.former).toEqual(written.former);
  expect(findOutdatedRecords(current, [known])[0]?.former).toEqual([]);
});
