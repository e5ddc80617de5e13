import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { decodeStored, maxStoredChangeIds } from "../../src/controller/configuration/index.js";
import { ConfigurationEditor, configurationKind } from "../../src/fleet/index.js";
import type { Configuration, Json } from "../../src/model/index.js";
import { draft, refuse, team } from "./builders.js";
import { FakeClock, FakeStore, makeRandom } from "./fakes.js";

const makeEditor = (store: FakeStore, seed = 1, inForce?: Configuration) => {
  const clock = new FakeClock();
  const editor = new ConfigurationEditor({
    store,
    clock,
    random: makeRandom(seed),
    findInForce: () => Promise.resolve(inForce),
  });
  return { editor, clock };
};

const finish = async <T>(result: Promise<T>, clocks: readonly FakeClock[]): Promise<T> => {
  const state = { isDone: false };
  void result.finally(() => (state.isDone = true));
  for (let i = 0; i < 400 && !state.isDone; i++)
    for (const clock of clocks) await clock.advance(100);
  return result;
};

const readStored = async (store: FakeStore) => {
  const read = await store.get(configurationKind, "current");
  return read.type === "found" ? decodeStored(read.value.value) : undefined;
};

const apply = (store: FakeStore, id: string, wanted: ReturnType<typeof draft>, base: number) => {
  const { editor, clock } = makeEditor(store, id.length);
  return finish(editor.apply({ changeId: id, draft: wanted }, base), [clock]);
};

// The operator's change took effect, but the store's answer was lost, and another operator changes
// the same team before the editor reads the configuration again. Applying the first change once more
// would revert the second; its id among the stored change ids shows that it already took effect.
test("a change whose answer was lost is recognised after a later change", async () => {
  const store = new FakeStore();
  await apply(store, "first", draft([team("a"), team("b")]), 0);
  store.putFaults = ["none", "lostAfter"];
  const { editor, clock } = makeEditor(store);
  const wanted = draft([team("a", "trial"), team("b")]);
  const result = editor.apply({ changeId: "lost", draft: wanted }, 1);
  for (let i = 0; i < 5 && (await readStored(store))?.changeId !== "lost"; i++) {
    await clock.advance(0);
  }
  expect(await apply(store, "second", draft([team("a"), team("b")]), 2)).toMatchObject({
    type: "applied",
    revision: 3,
  });
  expect(await finish(result, [clock])).toMatchObject({ type: "applied", revision: 3 });
  expect((await readStored(store))?.teams).toEqual([team("a"), team("b")]);
});

test("a change is reported as unavailable if the store is down from the start", async () => {
  const store = new FakeStore();
  store.isDown = true;
  expect(await apply(store, "x", draft([team("a")]), 0)).toMatchObject({ type: "unavailable" });
});

test("a change is uncertain if the store goes down before its answer arrives", async () => {
  const store = new FakeStore();
  store.putFaults = ["lostAfter"];
  const { editor, clock } = makeEditor(store);
  const result = editor.apply({ changeId: "x", draft: draft([team("a")]) }, 0);
  await clock.advance(0);
  store.isDown = true;
  expect(await finish(result, [clock])).toMatchObject({ type: "uncertain" });
});

// The store was restored from an old backup at revision 1 while the proxies have revision 9 in force.
// An editor that only read the store would write revision 2, which no proxy adopts, and the operator
// would wait for ever. The new revision must exceed the one in force.
test("a change after a restore of the store exceeds the revision in force", async () => {
  const store = new FakeStore();
  await apply(store, "old", draft([team("a")]), 0);
  const inForce = { revision: 9, changeId: "nine", ...draft([team("a"), team("b")]) };
  const { editor, clock } = makeEditor(store, 1, inForce);
  const wanted = draft([team("a"), team("b"), team("c")]);
  const result = await finish(editor.apply({ changeId: "ten", draft: wanted }, 9), [clock]);
  expect(result).toMatchObject({ type: "applied", revision: 10 });
  expect((await readStored(store))?.teams.map((t) => t.name)).toEqual(["a", "b", "c"]);
});

test("a change is uncertain once its id may have left the stored change ids", async () => {
  const store = new FakeStore();
  store.putFaults = ["lostAfter"];
  const { editor, clock } = makeEditor(store);
  const result = editor.apply({ changeId: "x", draft: draft([team("a")]) }, 0);
  await clock.advance(0);
  const revision = 1 + maxStoredChangeIds;
  const changes = Array.from({ length: maxStoredChangeIds }, (_, i) => `c${i}`);
  const value: Json = { revision, changeId: "c0", changes, teams: [], rules: [] };
  await store.put(configurationKind, "current", value, 1);
  expect(await finish(result, [clock])).toMatchObject({ type: "uncertain" });
});

// Several operators change the configuration concurrently while the store loses answers, refuses
// writes and reports conflicts. Each edit adds its own team and rule; some change a shared team.
// Every edit reported as applied must be in the final state, and each adds one to the revision.
test("concurrent editors with lost answers never lose an edit", async () => {
  const fault = fc.constantFrom("none", "lostBefore", "lostAfter", "conflictOnce", "down");
  await fc.assert(
    fc.asyncProperty(
      fc.array(fault, { maxLength: 12 }),
      fc.array(fc.tuple(fc.nat(1), fc.boolean()), { minLength: 2, maxLength: 6 }),
      fc.integer({ min: 1, max: 1000 }),
      async (faults, edits, seed) => {
        const store = new FakeStore();
        const first = draft([team("shared")], [refuse("last")]);
        await apply(store, "base", first, 0);
        store.putFaults = faults;
        const editors = edits.map(([kind, trial], i) => {
          const { editor, clock } = makeEditor(store, seed + i);
          const own = refuse(`r${i}`, { kinds: [`k${i}`] });
          const shared = kind === 0 ? team("shared") : team("shared", trial ? "trial" : "paying");
          const wanted = draft([shared, team(`t${i}`)], [own, ...first.rules]);
          return { result: editor.apply({ changeId: `e${i}`, draft: wanted }, 1), clock };
        });
        const clocks = editors.map((e) => e.clock);
        const results = await Promise.all(editors.map((e) => finish(e.result, clocks)));
        const stored = await readStored(store);
        for (const [i, result] of results.entries()) {
          if (result.type !== "applied") continue;
          expect(stored?.teams).toContainEqual(team(`t${i}`));
          expect(stored?.rules.map((r) => r.name)).toContain(`r${i}`);
        }
        const landed = edits.filter((_, i) => stored?.teams.some((t) => t.name === `t${i}`));
        expect(stored?.revision).toBe(1 + landed.length);
        expect(stored?.changes.length).toBe(1 + landed.length);
      },
    ),
    { seed: 4711, numRuns: 60 },
  );
});
