import { afterEach, expect, test } from "@jest/globals";
import { answered, group, read, ProxyFixture, write } from "./fixture.js";

let stage: ProxyFixture;

afterEach(() => stage.dispose());

// A read waits for the only connection to the primary, which another statement holds. Meanwhile the
// primary is replaced. Sent to the old one, the read would be answered by what is a replica by now, and
// its caller would miss commits that the new primary has acknowledged.
test("a read that waited while the primary was replaced goes to the new one", async () => {
  stage = new ProxyFixture({ proxies: 16 });
  const first = stage.open("primary").run(read("1"));
  await stage.advance(1);
  const second = stage.open("primary").run(read("2"));
  await stage.advance(1);
  stage.primary = { type: "serving", target: "q" };
  stage.list("p", "work")[0]?.answer(answered());
  await stage.advance(1);
  expect(stage.list("p", "work")).toHaveLength(1);
  stage.list("q", "work")[0]?.answer(answered());
  expect((await second).end.type).toBe("complete");
  expect((await first).end.type).toBe("complete");
});

// The primary goes dark: the statement that has its only connection gets no answer, and another waits
// behind it. The primary is replaced; the second goes to the new one without waiting for the first.
test("what waits for a primary that was replaced does not wait for its silent statements", async () => {
  stage = new ProxyFixture({ proxies: 16 });
  const first = stage.open("primary").run(read("1"));
  await stage.advance(1);
  const second = stage.open("primary").run(read("2"));
  await stage.advance(1);
  stage.primary = { type: "serving", target: "q" };
  stage.groups.find(group)?.evict("p");
  await stage.advance(10);
  stage.list("q", "work")[0]?.answer(answered());
  expect((await second).end.type).toBe("complete");
  stage.list("p", "work")[0]?.answer(answered());
  await first;
});

// A transaction has written at the primary, which is replaced before its commit and could not be made
// to step back. It would take the commit, which the new primary lacks. It is rolled back instead, and
// the caller hears that nothing is kept.
test("a transaction does not commit at a primary that was replaced", async () => {
  stage = new ProxyFixture();
  const session = stage.open("primary");
  await session.run({ type: "begin", id: "1", isReadOnly: false });
  const written = session.run(write("2"));
  await stage.advance(1);
  stage.list("p", "work")[0]?.answer(answered("transaction"));
  expect((await written).end.type).toBe("complete");
  stage.primary = { type: "changing", readyInMs: 500, reason: "made anew" };
  const end = await session.run({ type: "commit", id: "3", text: "COMMIT" });
  expect(end).toMatchObject({ end: { type: "error", code: "aborted" }, state: "idle" });
  expect(stage.list("p", "commit")).toHaveLength(0);
  expect(stage.list("p", "rollback")).toHaveLength(1);
});

// A proxy's place among those that hold a group's connections goes to another. Kept open, its connections
// would stand beside the other's for good, and the target would refuse some of them.
test("a proxy that holds a group's connections no more closes them, and may open one", async () => {
  stage = new ProxyFixture();
  const first = stage.open("primary").run(read("1"));
  await stage.advance(1);
  stage.list("p", "work")[0]?.answer(answered());
  await first;
  stage.setShareRule({ type: "none" });
  await stage.advance(1);
  expect(stage.closedConnections).toContain("p");
  const second = stage.open("primary").run(read("2"));
  await stage.advance(1);
  stage.list("p", "work")[1]?.answer(answered());
  expect((await second).end.type).toBe("complete");
});
