import { afterEach, expect, test } from "@jest/globals";
import { failLocally, type CommandResult } from "../../src/statement/index.js";
import { answered, group, ProxyFixture, read } from "./fixture.js";

let fixture: ProxyFixture;

afterEach(() => fixture.dispose());

const lagging: CommandResult = {
  type: "answered",
  reply: failLocally("lagging", "the log is behind", "idle"),
};

const listReads = () => ["p", "q"].flatMap((target) => fixture.list(target, "work"));

// A read used up its 64 attempts within milliseconds at replicas that lacked its mark each time.
test("a read whose primary is away asks a lagging replica again after pauses, until it has the mark", async () => {
  fixture = new ProxyFixture({ targets: ["p", "q"] });
  const mark = { term: { round: 1, vm: "p" }, offset: 7 };
  fixture.groups.find(group)?.notePrimaryMark("p", mark, 0);
  fixture.primary = { type: "changing", readyInMs: 5000, reason: "being replaced" };
  const end = fixture.open("own").run(read("r"));
  for (let at = 0; at < 300; at += 5) {
    for (const { answer } of listReads()) answer(lagging);
    await fixture.advance(5);
  }
  expect(listReads().length).toBeGreaterThan(2);
  expect(listReads().length).toBeLessThanOrEqual(10);
  await fixture.advance(100);
  for (const { answer } of listReads()) answer(answered());
  expect((await end).end.type).toBe("complete");
});
