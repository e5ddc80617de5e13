import { expect, test } from "@jest/globals";
import {
  applyRoutes,
  applyTargets,
  decodeSnapshot,
  encodeSnapshot,
  initialFeedState,
  listTargetsOfUnknownGroups,
  buildServingConfig,
  recordStoreAnswer,
  type RouteTable,
} from "../../src/feed/index.js";
import { listed, listing } from "./builders.js";

const routes = (revision: number): RouteTable => ({
  revision,
  databases: new Map(),
  connections: new Map([["g", 16]]),
  transactionIdleMs: 3000,
  lineTimeoutMs: 3000,
});

const listNames = (state: Parameters<typeof buildServingConfig>[0]) =>
  (buildServingConfig(state).groups.get("g")?.targets ?? []).map((t) => t.name);

test("a configuration is not replaced by an older one", () => {
  const state = applyRoutes(applyRoutes(initialFeedState, routes(7)), routes(5));
  expect(buildServingConfig(state).revision).toBe(7);
  expect(buildServingConfig(applyRoutes(state, routes(8))).revision).toBe(8);
});

// During an outage of the store, entries of live targets expire; they reappear within two seconds of its
// return. A target that is missing right after the outage is kept; later, a missing entry means it is gone.
test("targets that are missing right after an outage are kept for a while", () => {
  const targets = [listed("a", 1), listed("b", 2)];
  let state = applyRoutes(initialFeedState, routes(1));
  state = applyTargets(recordStoreAnswer(state, 0), listing(targets), 0);
  state = applyTargets(recordStoreAnswer(state, 5000), listing([listed("a", 1)]), 5000);
  expect(listNames(state)).toEqual(["a", "b"]);
  for (const at of [5700, 6400, 7100, 7800]) state = recordStoreAnswer(state, at);
  state = applyTargets(recordStoreAnswer(state, 8000), listing([listed("a", 1)]), 8000);
  expect(listNames(state)).toEqual(["a"]);
});

test("a target is dropped at once when it is missing without an outage or its address is reused", () => {
  let state = applyRoutes(initialFeedState, routes(1));
  state = applyTargets(recordStoreAnswer(state, 0), listing([listed("a", 1), listed("b", 2)]), 0);
  state = applyTargets(recordStoreAnswer(state, 700), listing([listed("a", 1)]), 700);
  expect(listNames(state)).toEqual(["a"]);
  state = applyTargets(recordStoreAnswer(state, 9000), listing([listed("c", 1)]), 9000);
  expect(listNames(state)).toEqual(["c"]);
});

test("a snapshot carries routes and targets, and a malformed one is not decoded", () => {
  const state = applyTargets(
    applyRoutes(initialFeedState, routes(3)),
    listing([listed("a", 1)]),
    0,
  );
  expect(decodeSnapshot(encodeSnapshot(state))).toEqual({
    routes: routes(3),
    targets: [listed("a", 1)],
  });
  expect(encodeSnapshot(initialFeedState)).toBe("");
  expect(decodeSnapshot("{")).toBeUndefined();
});

// Entries reappear after an outage of the store, and one of them was overwritten by another writer. That
// entry exists, so it doesn't count as missing, and the target known under its name is dropped.
test("right after an outage a target whose entry is invalid is not kept", () => {
  let state = applyRoutes(initialFeedState, routes(1));
  const before = listing([listed("a", 1), listed("b", 2), listed("c", 3)]);
  state = applyTargets(recordStoreAnswer(state, 0), before, 0);
  const after = listing([listed("a", 1)], [{ name: "b", field: "state" }]);
  state = applyTargets(recordStoreAnswer(state, 5000), after, 5000);
  expect(listNames(state)).toEqual(["a", "c"]);
});

test("targets of groups that the configuration does not have are reported and not used", () => {
  const stray = { ...listed("x", 9), group: "elsewhere" };
  const state = applyTargets(
    applyRoutes(initialFeedState, routes(1)),
    listing([listed("a", 1), stray]),
    0,
  );
  expect(listTargetsOfUnknownGroups(state)).toEqual([{ name: "x", field: "group" }]);
  expect(listNames(state)).toEqual(["a"]);
});

// A peer of a build that doesn't know synchronous groups says nothing of them; the store's copy of the revision does.
test("synchronous groups are passed on to peers, and added to a copy that lacks them", () => {
  const table = { ...routes(1), synchronousGroups: new Set(["g"]) };
  const known = applyRoutes(initialFeedState, table);
  expect(decodeSnapshot(encodeSnapshot(known))?.routes).toEqual(table);
  const copied = applyRoutes(initialFeedState, routes(1));
  expect(buildServingConfig(copied).groups.get("g")?.isSynchronous).toBeUndefined();
  expect(buildServingConfig(applyRoutes(copied, table)).groups.get("g")?.isSynchronous).toBe(true);
  expect(applyRoutes(known, routes(1))).toBe(known);
});
