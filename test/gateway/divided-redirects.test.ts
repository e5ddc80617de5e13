import { afterEach, expect, test } from "@jest/globals";
import { answered } from "../direct/fixture.js";
import { findEnd, makeRead } from "./hop.js";
import { countWork, lagging, learnMark, RedirectFleet } from "./redirect-fleet.js";

let fleet: RedirectFleet;

afterEach(() => fleet.dispose());

/** Starts two near gateways of which only the preferred one has a replica that is fresh enough. */
async function start() {
  fleet = await RedirectFleet.start({ hasSecondNear: true });
  const [preferred, other] = fleet.nearGateways;
  if (preferred === undefined || other === undefined) throw new Error("two gateways are needed");
  for (const { stage } of [preferred, other]) learnMark(stage);
  fleet.answerAll(fleet.home.stage, lagging);
  return { preferred, other };
}

const read = async (id: string) => findEnd(await fleet.open("own").run(makeRead(id)));

// The other gateway reads few log positions. If its redirect counted for all reads of the route, the probes of each
// entry node would send the others to the primary for 80 ms each time, although the near gateway can answer them.
test("a redirect by the other near gateway leaves the following reads to the preferred one", async () => {
  const { preferred, other } = await start();
  fleet.answerAll(other.stage, lagging);
  fleet.answerAll(preferred.stage, answered());
  fleet.isReadMoved = true;
  expect(await read("1")).toBe("complete");
  expect([countWork(other, "q"), countWork(fleet.home, "p")]).toEqual([1, 1]);
  fleet.isReadMoved = false;
  expect(await read("2")).toBe("complete");
  expect([countWork(preferred, "q"), countWork(fleet.home, "p")]).toEqual([1, 1]);
});

test("a redirect by the preferred near gateway counts for the following reads", async () => {
  const { preferred, other } = await start();
  fleet.answerAll(preferred.stage, lagging);
  expect(await read("1")).toBe("complete");
  fleet.isReadMoved = true;
  expect(await read("2")).toBe("complete");
  expect([countWork(other, "q"), countWork(fleet.home, "p")]).toEqual([0, 2]);
});
