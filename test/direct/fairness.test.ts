import { afterEach, expect, test } from "@jest/globals";
import { TeamRoster } from "../../src/direct/index.js";
import { answered, read, ProxyFixture } from "./fixture.js";

let stage: ProxyFixture;

afterEach(() => stage.dispose());

// One team sends a dozen statements at once where the target works on one, and another team sends one after
// them. In one line the other would wait behind all twelve. Turns are by team: it is served second.
test("a team that sends one statement does not wait behind one that sends many", async () => {
  const roster = new TeamRoster([
    { name: "hot", plan: "paying", keys: ["h"] },
    { name: "calm", plan: "paying", keys: ["c"] },
  ]);
  stage = new ProxyFixture({ targets: ["p"], slots: 1, proxies: 8, roster });
  const hot = Array.from({ length: 12 }, (_, i) =>
    stage.open("primary", { key: "h" }).run(read(`h${i}`)),
  );
  await stage.advance(1);
  const calm = stage.open("primary", { key: "c" }).run(read("c"));
  await stage.advance(1);
  const served: string[] = [];
  const all = Promise.all([...hot, calm]);
  for (let i = 0; i < 13; i += 1) {
    const next = stage.list("p", "work")[i];
    if (next === undefined) break;
    if (next.command.type === "work") served.push(next.command.work.id);
    next.answer(answered());
    await stage.advance(1);
  }
  await all;
  expect(served.indexOf("c")).toBeGreaterThanOrEqual(0);
  expect(served.indexOf("c")).toBeLessThanOrEqual(2);
});
