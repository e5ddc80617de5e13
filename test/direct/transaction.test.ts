import { afterEach, expect, test } from "@jest/globals";
import { answered, ProxyFixture, write } from "./fixture.js";

let fixture: ProxyFixture;

afterEach(() => fixture.dispose());

/** A little longer than the interval of the pool's checks. */
const checkIntervalMs = 250;

// A transaction takes 16 s, with idle times below the limit, and its connection answers each statement. If
// progress were measured from the time at which the connection was acquired, the pool would close it as
// silent after 10 s and the commit would fail.
test("a long transaction keeps its connection as long as it answers", async () => {
  fixture = new ProxyFixture();
  const session = fixture.open("primary");
  await session.run({ type: "begin", id: "0", isReadOnly: false });
  for (let i = 1; i <= 8; i += 1) {
    const written = session.run(write(String(i)));
    await fixture.advance(1);
    fixture.list("p", "work")[i - 1]?.answer(answered("transaction"));
    expect((await written).end.type).toBe("complete");
    await fixture.advance(2000);
  }
  await new Promise((resolve) => setTimeout(resolve, checkIntervalMs));
  const committed = session.run({ type: "commit", id: "9", text: "COMMIT" });
  await fixture.advance(1);
  fixture.list("p", "commit")[0]?.answer(answered());
  expect((await committed).end.type).toBe("complete");
});
