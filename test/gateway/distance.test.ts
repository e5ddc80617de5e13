import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "@jest/globals";
import { answered } from "../direct/fixture.js";
import { begin, commit, findEnd, Hop, makeRead, makeWrite, waitForSent } from "./hop.js";

let hop: Hop;

afterEach(() => hop.dispose());

async function startFar() {
  hop = await Hop.start(1, {}, true);
  const [gateway] = hop.gateways;
  if (gateway === undefined) throw new Error("no gateway");
  return gateway;
}

// A greeting or a probe that counted as late would break calls that are on their way.
test("the greeting and the probes of a gateway hold at a round trip of 60 ms", async () => {
  const gateway = await startFar();
  const answer = hop.open("primary").run(makeRead("1"));
  await waitForSent(gateway, "work");
  // Two probes are sent before the target answers.
  await sleep(500);
  gateway.stage.list("p", "work")[0]?.answer();
  expect(findEnd(await answer)).toBe("complete");
  expect(gateway.stage.list("p", "work")).toHaveLength(1);
  expect(gateway.link.acceptedCount).toBe(1);
});

// The gateway probes the node of an open transaction and rolls it back when no answer comes.
test("a transaction that is idle at a gateway stays open at a round trip of 60 ms", async () => {
  const gateway = await startFar();
  const session = hop.open("primary");
  await session.run(begin("1"));
  const wrote = session.run(makeWrite("2"));
  await waitForSent(gateway, "work");
  gateway.stage.list("p", "work")[0]?.answer(answered("transaction"));
  expect((await wrote).state).toBe("transaction");
  await sleep(1300);
  const committed = session.run(commit("3"));
  await waitForSent(gateway, "commit");
  gateway.stage.list("p", "commit")[0]?.answer();
  expect(findEnd(await committed)).toBe("complete");
  expect(gateway.stage.list("p", "rollback")).toHaveLength(0);
});

test("tokens arrive over a connection that is opened at a round trip of 60 ms", async () => {
  const gateway = await startFar();
  expect(await hop.requestTokens(gateway, 1000)).toMatchObject({ type: "granted" });
});
