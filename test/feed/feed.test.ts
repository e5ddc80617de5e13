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

test("configurations only go forward", () => {
  const state = applyRoutes(applyRoutes(initialFeedState, routes(7)), routes(5));
  expect(buildServingConfig(state).revision).toBe(7);
  expect(buildServingConfig(applyRoutes(state, routes(8))).revision).toBe(8);
});

// The store was away and entries lapsed meanwhile, though their targets live and are back in it within
// two seconds. Right after its return a missing entry is no news; later it means that the target is gone.
test("entries that are missing right after an outage are kept for a while", () => {
  const targets = [listed("a", 1), listed("b", 2)];
  let state = applyRoutes(initialFeedState, routes(1));
  state = applyTargets(recordStoreAnswer(state, 0), listing(targets), 0);
  state = applyTargets(recordStoreAnswer(state, 5000), listing([listed("a", 1)]), 5000);
  expect(listNames(state)).toEqual(["a", "b"]);
  for (const at of [5700, 6400, 7100, 7800]) state = recordStoreAnswer(state, at);
  state = applyTargets(recordStoreAnswer(state, 8000), listing([listed("a", 1)]), 8000);
  expect(listNames(state)).toEqual(["a"]);
});

test("without an outage a missing entry is gone at once, and so is one whose address is taken", () => {
  let state = applyRoutes(initialFeedState, routes(1));
  state = applyTargets(recordStoreAnswer(state, 0), listing([listed("a", 1), listed("b", 2)]), 0);
  state = applyTargets(recordStoreAnswer(state, 700), listing([listed("a", 1)]), 700);
  expect(listNames(state)).toEqual(["a"]);
  state = applyTargets(recordStoreAnswer(state, 9000), listing([listed("c", 1)]), 9000);
  expect(listNames(state)).toEqual(["c"]);
});

test("a snapshot brings everything to a process that can't reach the store", () => {
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

// The store was away and its entries are coming back. One of them was overwritten by somebody else: it
// is there, so that it does not count as missing, and what was known under its name is not kept.
test("right after an outage an entry that names no target is not filled up from before", () => {
  let state = applyRoutes(initialFeedState, routes(1));
  const before = listing([listed("a", 1), listed("b", 2), listed("c", 3)]);
  state = applyTargets(recordStoreAnswer(state, 0), before, 0);
  const after = listing([listed("a", 1)], [{ name: "b", field: "state" }]);
  state = applyTargets(recordStoreAnswer(state, 5000), after, 5000);
  expect(listNames(state)).toEqual(["a", "c"]);
});

test("targets of groups that the configuration does not name are told apart", () => {
  const stray = { ...listed("x", 9), group: "elsewhere" };
  const state = applyTargets(
    applyRoutes(initialFeedState, routes(1)),
    listing([listed("a", 1), stray]),
    0,
  );
  expect(listTargetsOfUnknownGroups(state)).toEqual([{ name: "x", field: "group" }]);
  expect(listNames(state)).toEqual(["a"]);
});
