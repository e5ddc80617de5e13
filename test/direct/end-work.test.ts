import { afterEach, expect, test } from "@jest/globals";
import { answered, ProxyFixture, read, write } from "./fixture.js";

let fixture: ProxyFixture;

afterEach(() => fixture.dispose());

const begin = { type: "begin", id: "b", isReadOnly: false } as const;

// A statement waits for the only connection when its process ends: its caller got no answer at all.
test("a statement that waits is refused when its process is about to end", async () => {
  fixture = new ProxyFixture({ proxies: 16 });
  const first = fixture.open("primary").run(read("1"));
  await fixture.advance(1);
  const session = fixture.open("primary");
  const second = session.run(read("2"));
  await fixture.advance(1);
  session.cancelWaiting();
  expect((await second).end).toMatchObject({ type: "error", code: "busy" });
  fixture.list("p", "work")[0]?.answer(answered());
  expect((await first).end.type).toBe("complete");
});

// The write runs when the time is over. Its caller was not told, went on, and was cut off.
test("a transaction is rolled back after the write that runs in it", async () => {
  fixture = new ProxyFixture();
  const session = fixture.open("primary");
  await session.run(begin);
  const written = session.run(write("2"));
  await fixture.advance(1);
  session.endWork();
  expect(fixture.list("p", "rollback")).toHaveLength(0);
  fixture.list("p", "work")[0]?.answer(answered("transaction"));
  expect((await written).end.type).toBe("complete");
  await fixture.advance(1);
  expect(fixture.list("p", "rollback")).toHaveLength(1);
  expect((await session.run(write("3"))).end).toMatchObject({ code: "aborted" });
  expect((await session.run(write("4"))).end).toMatchObject({ code: "malformed" });
  expect(await session.run({ type: "rollback", id: "5" })).toMatchObject({ state: "idle" });
  expect((await session.run(begin)).end).toMatchObject({ code: "busy" });
});

// A caller that commits first thing after the end must not take its transaction for committed.
test("the commit of a transaction that was rolled back at the end promises that nothing is kept", async () => {
  fixture = new ProxyFixture();
  const session = fixture.open("primary");
  await session.run(begin);
  session.endWork();
  const end = await session.run({ type: "commit", id: "2", text: "COMMIT" });
  expect(end).toMatchObject({ end: { code: "aborted" }, state: "idle" });
  expect(fixture.list("p", "commit")).toHaveLength(0);
});
