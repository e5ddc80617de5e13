import { expect, test } from "@jest/globals";
import type { LeadershipAnswer } from "../../src/leadership/index.js";
import { emptyLeadership } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { listSilentProxies, ProxyLivenessMonitor } from "../../src/node/proxy-liveness.js";
import { FakeClock, flushTasks } from "../fleet/fakes.js";
import { makeProxy } from "../gateway/builders.js";

const leadership = { version: 0, document: emptyLeadership };
const answer = {
  leadership,
  promoted: [],
  vm: "",
  listsAsker: true,
} as unknown as LeadershipAnswer;

/** Creates the monitor of the reader of data centre a, where the proxies in `alive` answer probes. */
function start(alive: readonly string[]) {
  const clock = new FakeClock();
  const asked: string[] = [];
  const marked: string[] = [];
  const monitor = new ProxyLivenessMonitor({
    vm: "vm-0",
    dataCentre: "a",
    peers: {
      share: ({ vm }) => {
        asked.push(vm);
        return Promise.resolve(
          alive.includes(vm) ? { type: "answered", answer } : { type: "silent" },
        );
      },
    },
    tracker: { latestUpdate: { leadership, promoted: [] } },
    clock,
    logger: silentLogger,
    markMissed: ({ vm }) => {
      marked.push(vm);
      return Promise.resolve();
    },
  });
  return { monitor, clock, asked, marked };
}

const proxies = [makeProxy(0), makeProxy(1), makeProxy(2), makeProxy(3, "b")];

// A gateway loses power. It sends its reader no more requests and answers nothing. The reader marks it, so that
// no statement is forwarded to it and another node registers in its place.
test("a listed proxy that sends no requests and does not answer is marked as missed", async () => {
  const { monitor, clock, marked } = start(["vm-1"]);
  monitor.checkProxies(proxies, true);
  clock.time = 2500;
  monitor.recordContact("vm-1");
  monitor.checkProxies(proxies, true);
  await flushTasks();
  expect(marked).toEqual(["vm-2"]);
});

// A process has only just become the reader, so that no proxy has had the time to contact it. A live proxy that
// uses another reader, because their listings differ, answers the probe.
test("a live proxy is not marked, and no probe is sent right after the reader began polling", async () => {
  const { monitor, clock, asked, marked } = start(["vm-1", "vm-2"]);
  clock.time = 60_000;
  monitor.checkProxies(proxies, true);
  await flushTasks();
  expect(asked).toEqual([]);
  clock.time = 62_500;
  monitor.checkProxies(proxies, true);
  await flushTasks();
  expect([...asked].sort()).toEqual(["vm-1", "vm-2"]);
  expect(marked).toEqual([]);
});

test("a proxy that does not poll the store itself probes no others", async () => {
  const { monitor, clock, asked } = start([]);
  monitor.checkProxies(proxies, false);
  clock.time = 10_000;
  monitor.checkProxies(proxies, false);
  await flushTasks();
  expect(asked).toEqual([]);
});

test("this process, proxies of other data centres and marked ones are not checked", () => {
  const own = { vm: "vm-0", dataCentre: "a", since: 0 };
  const missed = { ...makeProxy(4), isMissed: true };
  const silent = listSilentProxies([...proxies, missed], own, new Map(), 10_000);
  expect(silent.map(({ vm }) => vm)).toEqual(["vm-1", "vm-2"]);
});
