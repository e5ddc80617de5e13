import { afterEach, expect, test } from "@jest/globals";
import { answered, ProxyFixture, write } from "./fixture.js";

let stage: ProxyFixture;

afterEach(() => stage.dispose());

/** A little over the time between two looks at the connections. */
const lookMs = 250;

// A caller's transaction of several statements takes 16 s, resting between them for less than it may.
// Its connection answers each time. Taken as silent for the age of its grant, it was closed after 10 s
// and the caller's commit was answered with an error.
test("a long transaction keeps its connection as long as it answers", async () => {
  stage = new ProxyFixture();
  const session = stage.open("primary");
  await session.run({ type: "begin", id: "0", isReadOnly: false });
  for (let i = 1; i <= 8; i += 1) {
    const written = session.run(write(String(i)));
    await stage.advance(1);
    stage.list("p", "work")[i - 1]?.answer(answered("transaction"));
    expect((await written).end.type).toBe("complete");
    await stage.advance(2000);
  }
  await new Promise((resolve) => setTimeout(resolve, lookMs));
  const committed = session.run({ type: "commit", id: "9", text: "COMMIT" });
  await stage.advance(1);
  stage.list("p", "commit")[0]?.answer(answered());
  expect((await committed).end.type).toBe("complete");
});
