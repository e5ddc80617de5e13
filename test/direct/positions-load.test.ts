import { afterEach, expect, test } from "@jest/globals";
import type { Mark } from "../../src/model/index.js";
import { completeLocally, failLocally } from "../../src/statement/index.js";
import { makeRandom } from "../fleet/fakes.js";
import { ProxyFixture, read, write, type SentCommand } from "./fixture.js";

const serviceMs = 8;
const durationMs = 4000;
const sessionsPerSecond = 150;

let fixture: ProxyFixture | undefined;
afterEach(() => fixture?.dispose());

/** How far each replica is behind the primary at a time, in milliseconds; `Infinity` if it receives nothing. */
type Lags = (target: string, ms: number) => number;

interface LoadResult {
  readonly offered: number;
  readonly complete: number;
  readonly refused: number;
  /** Reads that replicas refused since they lacked the position. */
  readonly lagging: number;
  readonly readsAtPrimary: number;
  readonly readsAtReplicas: number;
  /** Reads that a replica answered without the position that they required. */
  readonly stale: number;
  readonly expectedWrong: number;
}

/** The log of a primary and of two replicas that follow it. */
class Logs {
  private readonly growth: number[] = [];
  private readonly held = new Map<string, number>();

  write(ms: number): Mark {
    this.growth.push(ms);
    return this.makeMark(this.growth.length);
  }

  /** Advances a replica to what the primary held `lagMs` ago. */
  follow(target: string, ms: number, lagMs: number): void {
    const reached = this.growth.filter((at) => at <= ms - lagMs).length;
    this.held.set(target, Math.max(this.held.get(target) ?? 0, reached));
  }

  getEnd(target: string): Mark {
    return this.makeMark(target === "p" ? this.growth.length : (this.held.get(target) ?? 0));
  }

  private makeMark(offset: number): Mark {
    return { term: { round: 1, vm: "p" }, offset };
  }
}

/** Sessions that write and then read at once, at a proxy in the data centre of the replica q. */
async function runLoad(
  isSlotPlanned: boolean,
  findLag: Lags,
  readDelayMs = 0,
): Promise<LoadResult> {
  const started = new ProxyFixture({
    targets: ["p", "q", "r"],
    dataCentres: ["b", "a", "c"],
    slots: 8,
    connections: 64,
    isSlotPlanned,
  });
  fixture = started;
  started.clock.jumpAhead(1000);
  const logs = new Logs();
  const random = makeRandom(11);
  const counts = { offered: 0, complete: 0, refused: 0, lagging: 0 };
  const reads = { readsAtPrimary: 0, readsAtReplicas: 0, stale: 0 };
  const pending: { readonly at: number; readonly sent: SentCommand }[] = [];
  const runSession = async (id: number) => {
    const session = started.open("session");
    await session.run(write(`w${id}`));
    if (readDelayMs > 0) await started.clock.sleep(readDelayMs);
    const { end } = await session.run(read(`r${id}`));
    counts[end.type === "complete" ? "complete" : "refused"] += 1;
  };
  const answer = ({ target, command, answer: reply }: SentCommand, ms: number) => {
    if (command.type !== "work") {
      reply();
      return;
    }
    if (command.work.type === "access" && command.work.effect === "write") {
      const mark = logs.write(ms);
      reply({ type: "answered", reply: { ...completeLocally("idle"), mark } });
      return;
    }
    const mark = logs.getEnd(target);
    const lacks = command.atLeast !== undefined && mark.offset < command.atLeast.offset;
    if (lacks) {
      counts.lagging += 1;
      const refusal = failLocally("lagging", "the log lacks the mark", "idle");
      reply({ type: "answered", reply: { ...refusal, mark } });
      return;
    }
    if (target === "p") reads.readsAtPrimary += 1;
    else reads.readsAtReplicas += 1;
    if (target !== "p" && command.atLeast === undefined) reads.stale += 1;
    reply({ type: "answered", reply: { ...completeLocally("idle"), mark } });
  };
  let seen = 0;
  for (let ms = 0; ms < durationMs + 1500; ms += 1) {
    for (const target of ["q", "r"]) {
      logs.follow(target, ms, findLag(target, ms));
      started.openedAtOf.set(target, logs.getEnd(target));
    }
    started.openedAtOf.set("p", logs.getEnd("p"));
    if (ms < durationMs && random.draw() < sessionsPerSecond / 1000) {
      counts.offered += 1;
      void runSession(ms);
    }
    await started.advance(1);
    for (const sent of started.sent.slice(seen)) pending.push({ at: ms + serviceMs, sent });
    seen = started.sent.length;
    for (const due of pending.filter(({ at }) => at <= ms)) answer(due.sent, ms);
    pending.splice(0, pending.length, ...pending.filter(({ at }) => at > ms));
  }
  return { ...counts, ...reads, expectedWrong: started.expectedWrongCount };
}

/** Checks that each session was served, and that no replica answered without the position. */
function expectServed({ offered, complete, refused, stale }: LoadResult): void {
  expect(offered).toBeGreaterThan(400);
  expect({ complete, refused, stale }).toEqual({ complete: offered, refused: 0, stale: 0 });
}

// Guards against reads after a write that each ask a replica which lacks their position.
test("while replicas lag by 150 ms, few reads are refused by them", async () => {
  const before = await runLoad(false, () => 150);
  await fixture?.dispose();
  const after = await runLoad(true, () => 150);
  expectServed(after);
  expect(after.lagging).toBeLessThan(before.lagging / 3);
  // At most one try of each replica in 400 ms, and those whose estimate was wrong.
  expect(after.lagging).toBeLessThanOrEqual(
    2 * ((durationMs + 1500) / 400 + 1) + after.expectedWrong,
  );
});

// Guards against load of the primary that replicas could take a moment later.
test("while replicas lag by 50 ms, reads wait for them instead of using the primary", async () => {
  const result = await runLoad(true, () => 50);
  expectServed(result);
  expect(result.readsAtReplicas).toBeGreaterThan(3 * result.readsAtPrimary);
});

// Lost: the stream of both replicas, which receive nothing for 2 s and then all at once.
test("replicas that receive nothing for 2 s are hardly tried, and are used again afterwards", async () => {
  const findLag: Lags = (_target, ms) => (ms >= 1000 && ms < 3000 ? Infinity : 20);
  const before = await runLoad(false, findLag);
  await fixture?.dispose();
  const after = await runLoad(true, findLag);
  expectServed(after);
  expect(after.lagging).toBeLessThan(before.lagging / 3);
  expect(after.readsAtReplicas).toBeGreaterThan(after.offered / 3);
});

// Lost: the stream of one replica of two.
test("reads use the other replica while one receives nothing", async () => {
  const result = await runLoad(true, (target) => (target === "q" ? Infinity : 20));
  expectServed(result);
  expect(result.readsAtReplicas).toBeGreaterThan(result.readsAtPrimary);
});

test("reads of positions that replicas have reported use the replicas", async () => {
  const result = await runLoad(true, () => 150, 400);
  expectServed(result);
  expect(result.readsAtPrimary).toBeLessThan(result.offered / 10);
});
