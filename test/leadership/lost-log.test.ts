import { expect, test } from "@jest/globals";
import {
  LeadershipTracker,
  StallDetector,
  type GroupLeadership,
} from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { FakeClock } from "../fleet/fakes.js";

const target = (name: string) => ({
  name,
  address: { host: "10.0.0.1", port: 5000 },
  dataCentre: "a",
  slots: 2,
  connections: 16,
  announcedRole: "replica" as const,
});

const makeTracker = () => {
  const clock = new FakeClock();
  return new LeadershipTracker({
    clock,
    logger: silentLogger,
    stallDetector: new StallDetector({ monotonic: () => clock.now(), wall: () => clock.now() }),
    listTargets: () => [target("i-0"), target("i-1")],
    onStall: () => undefined,
    onContactFailure: () => undefined,
    onSuperseded: () => undefined,
    onSilence: () => undefined,
  });
};

let version = 0;
const adopt = (tracker: LeadershipTracker, entry: GroupLeadership) => {
  version += 1;
  const document = { holder: undefined, groups: { ledger: entry } };
  tracker.adopt({ leadership: { version, document }, promoted: [] });
};
const serving = (round: number, name: string) =>
  ({ type: "serving", round, target: name }) as const;

// A primary restarts with an empty log and is replaced. Later it is primary again with a complete log, and restarts
// empty a second time. If that were taken for the first loss, it would go on answering reads.
test("a second loss of a target's log is detected after another target was primary", () => {
  const tracker = makeTracker();
  adopt(tracker, serving(1, "i-0"));
  tracker.noteLostLog("ledger", "i-0");
  expect(tracker.findLeader("ledger").type).toBe("changing");
  adopt(tracker, serving(2, "i-1"));
  adopt(tracker, serving(3, "i-0"));
  expect(tracker.findLeader("ledger").type).toBe("serving");
  tracker.noteLostLog("ledger", "i-0");
  expect(tracker.findLeader("ledger").type).toBe("changing");
});

// The only running target is the one that lost its log, and it is promoted again. If the loss still counted, the
// primary would be replaced again and again and the group would never serve.
test("a target that is promoted again after it lost its log serves", () => {
  const tracker = makeTracker();
  adopt(tracker, serving(1, "i-0"));
  tracker.noteLostLog("ledger", "i-0");
  adopt(tracker, serving(2, "i-0"));
  tracker.noteLostLog("ledger", "i-0");
  expect(tracker.findLeader("ledger").type).toBe("serving");
});
