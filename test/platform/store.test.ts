import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { DisposableStore, type StoreChange } from "../../src/model/index.js";
import { HttpObjectStore } from "../../src/platform/index.js";
import { StandinPlatform } from "../../standin/platform/index.js";

let owned: DisposableStore;
let platform: StandinPlatform;
let store: HttpObjectStore;

beforeEach(async () => {
  owned = new DisposableStore();
  platform = owned.add(new StandinPlatform());
  await platform.start();
  store = owned.add(new HttpObjectStore({ url: platform.url, timeoutMs: 300, watchWaitMs: 200 }));
});

afterEach(() => owned.dispose());

function watchFrom(after: number) {
  const changes: StoreChange[] = [];
  const abort = new AbortController();
  let wake = (): void => undefined;
  const handle = (change: StoreChange) => {
    changes.push(change);
    wake();
  };
  const ended = store.watch("rules", after, handle, abort.signal);
  owned.defer(async () => {
    abort.abort();
    await ended;
  });
  const waitFor = async (count: number) => {
    while (changes.length < count) await new Promise<void>((resolve) => (wake = resolve));
    return changes;
  };
  return { waitFor, ended };
}

test("updates are conditional, and versions grow even across a removal", async () => {
  expect(await store.get("rules", "all")).toEqual({ type: "absent" });
  const first = await store.put("rules", "all", { n: 1 }, 0);
  expect(first).toMatchObject({ type: "written", object: { version: 1, value: { n: 1 } } });
  expect(await store.put("rules", "all", { n: 2 }, 0)).toEqual({ type: "conflict" });
  expect(await store.remove("rules", "all", 1)).toMatchObject({ type: "written" });
  expect(await store.remove("rules", "all", 1)).toEqual({ type: "conflict" });
  const again = await store.put("rules", "all", null, 0);
  expect(again).toMatchObject({ object: { version: 3, value: null } });
  expect(await store.list("rules")).toMatchObject({ type: "found", value: [{ version: 3 }] });
});

// The store applies a write but its answer is lost. The client can't tell whether the write took effect
// and must report `unknown`; a retry with the old version then gets a conflict and changes nothing.
test("a write whose answer is lost is reported as unknown and is not applied twice", async () => {
  platform.faults.loseWriteAnswers(1);
  expect(await store.put("rules", "all", 1, 0)).toMatchObject({ type: "unknown" });
  expect(await store.get("rules", "all")).toMatchObject({ value: { value: 1 } });
  expect(await store.put("rules", "all", 1, 0)).toEqual({ type: "conflict" });
});

test("a store that is down or too slow is unavailable and applies no write", async () => {
  platform.faults.slowMs = 1_000;
  expect(await store.get("rules", "all")).toMatchObject({ type: "unavailable" });
  platform.faults.slowMs = 0;
  platform.setDown(true);
  expect(await store.list("rules")).toMatchObject({ type: "unavailable" });
  expect(["unavailable", "unknown"]).toContain((await store.put("rules", "all", 1, 0)).type);
  platform.setDown(false);
  expect(await store.get("rules", "all")).toEqual({ type: "absent" });
  await platform.dispose();
  const fresh = owned.add(new HttpObjectStore({ url: platform.url }));
  expect(await fresh.put("rules", "all", 1, 0)).toMatchObject({ type: "unavailable" });
});

test("a watch reports the changes after a version, over several long polls", async () => {
  await store.put("rules", "all", 1, 0);
  const { waitFor } = watchFrom(1);
  await store.put("other", "all", 1, 0);
  await store.put("rules", "all", 2, 1);
  expect(await waitFor(1)).toMatchObject([{ type: "changed", object: { version: 3, value: 2 } }]);
  await store.remove("rules", "all", 3);
  expect((await waitFor(2))[1]).toEqual({ type: "removed", kind: "rules", name: "all" });
  expect(platform.calls.writes).toBe(4);
});

// The connection of a watch is cut. Changes may be missed from then on, so the watch ends with `broken`
// and its user lists the objects again.
test("a watch whose connection is cut ends as broken", async () => {
  const { waitFor, ended } = watchFrom(0);
  while (platform.calls.watches === 0) await new Promise((resolve) => setImmediate(resolve));
  platform.dropWatches();
  expect(await waitFor(1)).toMatchObject([{ type: "broken" }]);
  await ended;
});

test("the list of VMs may be out of date", async () => {
  const vm = { name: "vm-1", dataCentre: "palermo", peer: { host: "127.0.0.1", port: 1 } };
  platform.setVms([{ ...vm, state: "live" }]);
  platform.faults.listLagMs = 3_600_000;
  platform.setVms([{ ...vm, state: "leaving" }]);
  expect(await store.listVms()).toMatchObject({ value: [{ state: "live" }] });
  platform.faults.listLagMs = 0;
  expect(await store.listVms()).toMatchObject({ value: [{ state: "leaving" }] });
});
