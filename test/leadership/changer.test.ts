import { expect, test } from "@jest/globals";
import { Scene } from "./scene.js";

/** Looks at the primary as one that was silent to a statement and to a probe, and lets a change run. */
const suspect = async (scene: Scene) => {
  const { changer, keeper } = scene.makeProxy("a");
  keeper.noteProbe("ledger", "i-0", 0, false);
  scene.clock.time = 400;
  changer.look();
  await scene.clock.advance(1000);
  return scene.lines.map(({ event }) => event.name);
};

// Much is asked of a primary: its slots are all taken, and a probe gets no connection in its time. Were
// it taken as gone, it would be replaced for being busy, and the next one after it.
test("a primary that has no slot to answer in is kept", async () => {
  const scene = new Scene();
  scene.answer = { type: "alive" };
  const events = await suspect(scene);
  expect(events).toContain("leaderSuspected");
  expect(events).toContain("primaryKept");
  expect(scene.held).toBeUndefined();
});

// A probe got no connection in its time, but a statement was answered meanwhile.
test("a primary that answers statements is not suspected for a probe that failed", async () => {
  const scene = new Scene();
  const { changer, keeper } = scene.makeProxy("a");
  scene.clock.time = 200;
  keeper.noteContact("ledger", "i-0", true);
  keeper.noteProbe("ledger", "i-0", 100, false);
  scene.clock.time = 600;
  changer.look();
  await scene.clock.advance(1000);
  expect(scene.lines.map(({ event }) => event.name)).not.toContain("leaderSuspected");
});

test("a primary that answers nobody is replaced", async () => {
  const scene = new Scene();
  const events = await suspect(scene);
  expect(events).toContain("primaryChangeBegun");
  expect(scene.held?.document.groups.ledger?.type).toBe("changing");
});
