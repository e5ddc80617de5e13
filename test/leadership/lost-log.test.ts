import { expect, test } from "@jest/globals";
import {
  LeadershipKeeper,
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

const makeKeeper = () => {
  const clock = new FakeClock();
  return new LeadershipKeeper({
    clock,
    logger: silentLogger,
    stalls: new StallDetector({ steady: () => clock.now(), wall: () => clock.now() }),
    listTargets: () => [target("i-0"), target("i-1")],
    onStall: () => undefined,
    onMiss: () => undefined,
    onSuperseded: () => undefined,
    onSilence: () => undefined,
  });
};

let version = 0;
const adopt = (keeper: LeadershipKeeper, entry: GroupLeadership) => {
  version += 1;
  const document = { holder: undefined, groups: { ledger: entry } };
  keeper.adopt({ leadership: { version, document }, made: [] });
};
const serving = (round: number, name: string) =>
  ({ type: "serving", round, target: name }) as const;

// A primary comes back with nothing and is replaced. Later it leads again with a whole log, and comes back
// with nothing a second time. Taken for the first time over, it would answer reads.
test("each loss of a log counts anew once another target has led", () => {
  const keeper = makeKeeper();
  adopt(keeper, serving(1, "i-0"));
  keeper.noteLostLog("ledger", "i-0");
  expect(keeper.findLeader("ledger").type).toBe("changing");
  adopt(keeper, serving(2, "i-1"));
  adopt(keeper, serving(3, "i-0"));
  expect(keeper.findLeader("ledger").type).toBe("serving");
  keeper.noteLostLog("ledger", "i-0");
  expect(keeper.findLeader("ledger").type).toBe("changing");
});

// The only target that runs is the one that lost its log. It is made primary again; were the loss held
// against it, the group would be changed for ever and serve nobody.
test("a target that was made primary in spite of its loss serves", () => {
  const keeper = makeKeeper();
  adopt(keeper, serving(1, "i-0"));
  keeper.noteLostLog("ledger", "i-0");
  adopt(keeper, serving(2, "i-0"));
  keeper.noteLostLog("ledger", "i-0");
  expect(keeper.findLeader("ledger").type).toBe("serving");
});
