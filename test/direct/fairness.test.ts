import { afterEach, expect, test } from "@jest/globals";
import { TeamRoster } from "../../src/direct/index.js";
import { answered, read, ProxyFixture } from "./fixture.js";

let fixture: ProxyFixture;

afterEach(() => fixture.dispose());

// One team sends twelve statements at once to a target with one slot, and then another team sends one. In a
// single queue the latter would wait behind all twelve. As teams take turns, it is served early.
test("a team that sends one statement does not wait behind one that sends many", async () => {
  const roster = new TeamRoster([
    { name: "hot", plan: "paying", keys: ["h"] },
    { name: "calm", plan: "paying", keys: ["c"] },
  ]);
  fixture = new ProxyFixture({ targets: ["p"], slots: 1, proxies: 8, roster });
  const hot = Array.from({ length: 12 }, (_, i) =>
    fixture.open("primary", { key: "h" }).run(read(`h${i}`)),
  );
  await fixture.advance(1);
  const calm = fixture.open("primary", { key: "c" }).run(read("c"));
  await fixture.advance(1);
  const served: string[] = [];
  const all = Promise.all([...hot, calm]);
  for (let i = 0; i < 13; i += 1) {
    const next = fixture.list("p", "work")[i];
    if (next === undefined) break;
    if (next.command.type === "work") served.push(next.command.work.id);
    next.answer(answered());
    await fixture.advance(1);
  }
  await all;
  expect(served.indexOf("c")).toBeGreaterThanOrEqual(0);
  expect(served.indexOf("c")).toBeLessThanOrEqual(2);
});
