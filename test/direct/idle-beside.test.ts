import { afterEach, expect, test } from "@jest/globals";
import { buildEqualShare } from "../../src/direct/share.js";
import { answered, ProxyFixture, read } from "./fixture.js";

const names = Array.from({ length: 8 }, (_, i) => `node-${i}`);
const connections = 16;
/** Longer than pools wait after their start, and than statements do, before they open a connection more. */
const growableAfterMs = 4100;
const waitMs = 100;
/** A round of the timer by which pools open connections, in milliseconds. */
const poolTimerMs = 250;

let fixture: ProxyFixture | undefined;

afterEach(() => fixture?.dispose());

/** Whether a proxy runs a read at the only target while the caller of a transaction there is idle. */
async function servesBesideIdle(own: string): Promise<boolean> {
  const proxy = new ProxyFixture({ targets: ["p"], connections });
  fixture = proxy;
  proxy.setShareRule(buildEqualShare(own, names));
  await proxy.advance(growableAfterMs);
  const transaction = proxy.open("primary");
  await transaction.run({ type: "begin", id: "b", isReadOnly: false });
  const first = transaction.run(read("1"));
  await proxy.advance(1);
  proxy.list("p", "work")[0]?.answer(answered("transaction"));
  await first;
  void proxy.open("primary").run(read("2"));
  await proxy.advance(waitMs);
  await new Promise((resolve) => setTimeout(resolve, poolTimerMs));
  await proxy.advance(1);
  const isServed = proxy.list("p", "work").length === 2;
  await proxy.dispose();
  return isServed;
}

// With one connection each, half of a target's connections unused, a read beside an idle transaction was refused.
test("proxies serve others while the caller of a transaction is idle, as far as connections allow", async () => {
  const served: boolean[] = [];
  for (const name of names) served.push(await servesBesideIdle(name));
  expect(served.filter(Boolean)).toHaveLength(connections - 1 - names.length);
}, 20_000);
