import { afterEach, expect, test } from "@jest/globals";
import type { RateClaim, RateLimiter, RateReservation } from "../../src/rates/index.js";
import type { Reply } from "../../src/statement/index.js";
import { answered } from "../direct/fixture.js";
import { waitUntil } from "../node/cluster.js";
import { makeRead } from "./hop.js";
import {
  beginReading,
  countWork,
  learnMark,
  RedirectFleet,
  type FleetOptions,
} from "./redirect-fleet.js";

let fleet: RedirectFleet;

afterEach(() => fleet.dispose());

async function start(options: FleetOptions = {}): Promise<RedirectFleet> {
  fleet = await RedirectFleet.start(options);
  return fleet;
}

async function startLagging(options: FleetOptions = {}): Promise<RedirectFleet> {
  fleet = await RedirectFleet.startLagging(options);
  return fleet;
}

/** Counts the tokens of all gateways' statements. */
class CountingLimiter implements RateLimiter {
  reserved = 0;
  /** Reservations that were not released. */
  open = 0;
  /** Tokens that statements used up. */
  consumed = 0;

  reserve(): RateReservation {
    this.reserved += 1;
    this.open += 1;
    const claim: RateClaim = {
      consume: () => (this.consumed += 1) > 0,
      noteNotRun: () => (this.consumed -= 1),
      release: () => (this.open -= 1),
    };
    return { type: "granted", claim };
  }
}

function runReads(count: number, database = "own"): Promise<readonly Reply[]> {
  const reads = Array.from({ length: count }, (_, i) => fleet.open(database).run(makeRead(`${i}`)));
  return Promise.all(reads);
}

// A redirected read does not count against its team's rate at the near gateway, and counts once at the other.
test("the near gateway gives back the token of a redirected read, also after a try at a replica", async () => {
  const rates = new CountingLimiter();
  await startLagging({ stage: { rates } });
  await runReads(1);
  expect(countWork(fleet.near, "q")).toBe(1);
  expect(rates).toMatchObject({ reserved: 2, open: 0, consumed: 1 });
  // The replica is still known to lag: the next read is redirected before anything is sent to a target.
  await fleet.entry.advance(80);
  await runReads(1);
  expect(countWork(fleet.near, "q")).toBe(1);
  expect(rates).toMatchObject({ reserved: 4, open: 0, consumed: 2 });
});

// The connection to the replica breaks before the transaction has begun, so that no replica is left. A token that the
// near gateway kept would count the transaction twice.
test("the near gateway gives back the token of a redirected transaction that was never begun", async () => {
  const rates = new CountingLimiter();
  await start({ stage: { rates } });
  learnMark(fleet.near.stage);
  fleet.near.stage.isBeginHeld = true;
  fleet.answerAll(fleet.home.stage, answered(), answered("transaction"));
  const session = fleet.open("own");
  await session.run(beginReading);
  const first = session.run(makeRead("1"));
  await waitUntil(() => fleet.near.stage.list("q", "begin").length > 0);
  const unsent = { type: "broken", sent: false, reason: "reset" } as const;
  fleet.near.stage.list("q", "begin")[0]?.answer(unsent);
  await fleet.near.stage.advance(30);
  expect((await first).state).toBe("transaction");
  expect(fleet.near.stage.redirectCount).toBe(1);
  expect(rates).toMatchObject({ reserved: 2, open: 0, consumed: 1 });
});
