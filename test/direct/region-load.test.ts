import { afterEach, expect, test } from "@jest/globals";
import { singleRegion, Topology } from "../../src/topology/index.js";
import { makeRandom } from "../fleet/fakes.js";
import { answered, ProxyFixture, read } from "./fixture.js";

const topology = new Topology(
  new Map([
    ["a", "east"],
    ["b", "east"],
    ["c", "west"],
  ]),
);
const serviceMs = 20;
const roundTripMs = 60;
const durationMs = 2000;
const markIntervalMs = 500;

let fixture: ProxyFixture | undefined;
afterEach(() => fixture?.dispose());

/** The virtual milliseconds after each of which the queue checks for waits that have become too long. */
interface CheckTimes {
  readonly fromMs: number;
  readonly untilMs: number;
}

const noChecks: CheckTimes = { fromMs: 0, untilMs: 0 };

/** Longer than the interval of the queue's checks, which run in real time. */
const waitForQueueCheck = () => new Promise((resolve) => setTimeout(resolve, 60));

/**
 * Sends reads to a gateway with one replica in its region, and the primary and a replica in the other. Until
 * `silentAfterMs` the region's replica answers. Returns how the reads ended and what crossed, in virtual time.
 */
async function runLoad(
  perSecond: number,
  known: Topology,
  silentAfterMs = Infinity,
  checks: CheckTimes = noChecks,
) {
  const started = new ProxyFixture({
    targets: ["p", "near", "remote"],
    dataCentres: ["c", "b", "c"],
    connections: 46,
    slots: 4,
    topology: known,
  });
  fixture = started;
  started.setShareRule({ type: "chosen", proxies: 6, isFirst: true });
  started.clock.jumpAhead(1000);
  const random = makeRandom(5);
  const ends = { complete: 0, refused: 0 };
  const answers: { readonly at: number; readonly answer: () => void }[] = [];
  let offered = 0;
  let seen = 0;
  let sentNear = 0;
  for (let ms = 0; ms < durationMs + 1000; ms += 1) {
    const now = started.clock.now();
    if (ms % markIntervalMs === 0) {
      const mark = { term: { round: 1, vm: "" }, offset: 4 };
      started.groups.find("ledger")?.notePrimaryMark("p", mark, now);
    }
    if (ms < durationMs && random.draw() < perSecond / 1000) {
      offered += 1;
      void started
        .open("own")
        .run(read(`r${ms}`))
        .then(({ end }) => (ends[end.type === "complete" ? "complete" : "refused"] += 1));
    }
    await started.advance(1);
    if (ms >= checks.fromMs && ms < checks.untilMs) await waitForQueueCheck();
    for (const { target, answer } of started.sent.slice(seen)) {
      const isNear = target === "near";
      if (isNear) sentNear += 1;
      if (isNear && ms >= silentAfterMs) continue;
      const tookMs = isNear ? serviceMs : serviceMs + roundTripMs;
      answers.push({ at: now + tookMs, answer: () => answer(answered()) });
    }
    seen = started.sent.length;
    for (const due of answers.filter(({ at }) => at <= now)) due.answer();
    answers.splice(0, answers.length, ...answers.filter(({ at }) => at > now));
  }
  const reads = ends.complete + ends.refused;
  const unanswered = offered - reads;
  return { ...ends, reads, unanswered, sentNear, crossings: started.crossings.length };
}

test("no read crosses while the region's replica has capacity", async () => {
  const { refused, reads, unanswered, crossings } = await runLoad(200, topology);
  expect(reads).toBeGreaterThan(300);
  expect({ refused, unanswered, crossings }).toEqual({ refused: 0, unanswered: 0, crossings: 0 });
});

// The same load without regions: a least loaded replica is as often a remote one.
test("without regions the same load uses both replicas", async () => {
  const { reads, sentNear } = await runLoad(200, singleRegion);
  expect(sentNear / reads).toBeLessThan(0.8);
});

test("reads beyond the capacity of the region cross, and none is refused", async () => {
  const { refused, reads, unanswered, sentNear, crossings } = await runLoad(460, topology);
  expect({ refused, unanswered }).toEqual({ refused: 0, unanswered: 0 });
  expect(crossings).toBeGreaterThan(0);
  // Eight slots of 20 ms serve 400 reads in a second.
  expect(sentNear / reads).toBeGreaterThan(0.75);
});

// Lost: the region's replica, which leaves its connections open.
test("reads are served in the other region when the region's replica stops answering", async () => {
  const { refused, unanswered, crossings } = await runLoad(80, topology, 500);
  expect(refused).toBe(0);
  // Those that held its eight slots; here no statement has a timeout at its target.
  expect(unanswered).toBeLessThanOrEqual(8);
  expect(crossings).toBeGreaterThan(60);
});

// Guards against a check of the queue that refuses the reads which wait behind a silent replica, as it will not end
// their wait, before they leave the region.
test("reads that wait when a silent replica is noticed are served in the other region", async () => {
  const checks = { fromMs: 1560, untilMs: 1590 };
  const { refused, unanswered } = await runLoad(80, topology, 500, checks);
  expect(refused).toBe(0);
  expect(unanswered).toBeLessThanOrEqual(8);
});
