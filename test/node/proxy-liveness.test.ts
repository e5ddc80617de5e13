import { expect, test } from "@jest/globals";
import type { LeadershipAnswer } from "../../src/leadership/index.js";
import { emptyLeadership } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { listSilentProxies, ProxyLivenessMonitor } from "../../src/node/proxy-liveness.js";
import { FakeClock, settle } from "../fleet/fakes.js";
import { makeProxy } from "../gateway/builders.js";

const leadership = { version: 0, document: emptyLeadership };
const answer = { leadership, made: [], vm: "", listsAsker: true } as unknown as LeadershipAnswer;

/** A reader of data centre a, with the proxies that answer it. */
function start(alive: readonly string[]) {
  const clock = new FakeClock();
  const asked: string[] = [];
  const marked: string[] = [];
  const watch = new ProxyLivenessMonitor({
    vm: "vm-0",
    dataCentre: "a",
    peers: {
      share: ({ vm }) => {
        asked.push(vm);
        return Promise.resolve(alive.includes(vm) ? answer : undefined);
      },
    },
    tracker: { word: { leadership, made: [] } },
    clock,
    logger: silentLogger,
    markMissed: ({ vm }) => {
      marked.push(vm);
      return Promise.resolve();
    },
  });
  return { watch, clock, asked, marked };
}

const proxies = [makeProxy(0), makeProxy(1), makeProxy(2), makeProxy(3, "b")];

// A gateway loses its power. It asks its reader no more and answers nothing; the reader marks it, so that
// nothing is forwarded to it and another takes its place.
test("a listed proxy that asks nothing and does not answer is marked", async () => {
  const { watch, clock, marked } = start(["vm-1"]);
  watch.checkProxies(proxies, true);
  clock.time = 2500;
  watch.recordContact("vm-1");
  watch.checkProxies(proxies, true);
  await settle();
  expect(marked).toEqual(["vm-2"]);
});

// The reader has only just begun to read: nobody has had the time to ask it. One that lives and asks
// another, since the listings differ, answers the question.
test("one that lives is not marked, and nobody is asked right after the reading began", async () => {
  const { watch, clock, asked, marked } = start(["vm-1", "vm-2"]);
  clock.time = 60_000;
  watch.checkProxies(proxies, true);
  await settle();
  expect(asked).toEqual([]);
  clock.time = 62_500;
  watch.checkProxies(proxies, true);
  await settle();
  expect([...asked].sort()).toEqual(["vm-1", "vm-2"]);
  expect(marked).toEqual([]);
});

test("one that follows another watches nobody", async () => {
  const { watch, clock, asked } = start([]);
  watch.checkProxies(proxies, false);
  clock.time = 10_000;
  watch.checkProxies(proxies, false);
  await settle();
  expect(asked).toEqual([]);
});

test("neither this process, nor other data centres, nor those that are marked are looked after", () => {
  const own = { vm: "vm-0", dataCentre: "a", since: 0 };
  const missed = { ...makeProxy(4), isMissed: true };
  const silent = listSilentProxies([...proxies, missed], own, new Map(), 10_000);
  expect(silent.map(({ vm }) => vm)).toEqual(["vm-1", "vm-2"]);
});
