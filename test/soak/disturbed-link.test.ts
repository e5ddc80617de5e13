import { expect, test } from "@jest/globals";
import { DisturbedDirection, LinkDisturbances } from "../../standin/soak/nodes/index.js";

const port = 7000;

function createDirection() {
  const clock = { nowMs: 0 };
  const disturbances = new LinkDisturbances();
  const direction = new DisturbedDirection(port, "out", disturbances, () => clock.nowMs);
  const passed: string[] = [];
  const send = (name: string) => {
    direction.pass(() => passed.push(name));
  };
  const advance = (ms: number) => {
    clock.nowMs += ms;
    direction.passDue();
    return [...passed];
  };
  return { disturbances, direction, send, advance };
}

// A cut that dropped bytes or passed them out of order would be a fault that no network has under TCP.
test("nothing passes a cut direction, and all of it in order afterwards", () => {
  const { disturbances, send, advance } = createDirection();
  const cut = { ports: new Set([port]), direction: "both" } as const;
  send("before");
  disturbances.add(cut);
  send("first");
  send("second");
  expect(advance(5000)).toEqual(["before"]);
  disturbances.remove(cut);
  expect(advance(0)).toEqual(["before", "first", "second"]);
});

test("a cut of the other direction or another port holds nothing", () => {
  const { disturbances, send, advance } = createDirection();
  disturbances.add({ ports: new Set([port]), direction: "in" });
  disturbances.add({ ports: new Set([port + 1]), direction: "both" });
  send("message");
  expect(advance(0)).toEqual(["message"]);
});

// Without the wait of what follows, a lossy link would only reorder messages.
test("what follows a lost message arrives after its repetition", () => {
  const { disturbances, send, advance } = createDirection();
  disturbances.lossShare = 1;
  send("lost");
  disturbances.lossShare = 0;
  send("next");
  expect(advance(199)).toEqual([]);
  expect(advance(201)).toEqual(["lost", "next"]);
});

test("a direction that is stalled stays silent", () => {
  const { direction, send, advance } = createDirection();
  direction.isStalled = true;
  send("message");
  expect(advance(60_000)).toEqual([]);
});
