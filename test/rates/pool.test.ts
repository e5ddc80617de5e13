import { expect, test } from "@jest/globals";
import fc from "fast-check";
import type { TeamRate } from "../../src/model/index.js";
import {
  RateShares,
  toTokenRate,
  TokenPool,
  type RateBounds,
  type WeightedProxy,
  type TokenRate,
} from "../../src/rates/index.js";

const team = "cello";
const bounds: RateBounds = { windowMs: 5000, overage: 0.1, slack: 20 };

/** The most operations that any window may have. */
const findBound = ({ perSecond, burst }: TeamRate, { windowMs, overage, slack }: RateBounds) =>
  ((perSecond * windowMs) / 1000 + burst) * (1 + overage) + slack;

/** The most that ran in any window. */
function countWorst(times: readonly number[], windowMs: number): number {
  let worst = 0;
  let from = 0;
  for (const [i, time] of times.entries()) {
    while ((times[from] ?? time) <= time - windowMs) from += 1;
    worst = Math.max(worst, i - from + 1);
  }
  return worst;
}

interface Holder {
  purse: TokenPool;
  /** How far its clock is behind, for having stood still. */
  behindMs: number;
}

/** Processes that make, use and exchange one team's tokens, in virtual time. */
class Field {
  now = 0;
  readonly ran: number[] = [];
  refused = 0;
  asked = 0;
  private readonly holders: Holder[];

  constructor(
    private readonly mint: TokenRate,
    private readonly count: number,
  ) {
    this.holders = Array.from({ length: count }, () => this.makeHolder());
  }

  /** One operation at one process, which asks others as the keeper does. */
  run(index: number, fate: Fate): void {
    const holder = this.find(index);
    this.make(holder);
    if (holder.purse.take(this.read(holder)) !== undefined) {
      this.ran.push(this.now);
      return;
    }
    for (const step of [5, 1, 7, 3]) {
      this.move(index + step, index, fate);
      if (holder.purse.take(this.read(holder)) !== undefined) {
        this.ran.push(this.now);
        return;
      }
    }
    this.refused += 1;
  }

  kill(index: number): void {
    this.holders[index % this.count] = this.makeHolder();
  }

  /** Stops a process and its clock; when it goes on it drops what it had. */
  pause(index: number, ms: number): void {
    const holder = this.find(index);
    holder.behindMs += ms;
    this.now += ms;
    holder.purse.clear(this.read(holder));
  }

  /** Moves tokens from one process to another; what is lost on the way is gone. */
  private move(from: number, to: number, fate: Fate): void {
    this.asked += 1;
    if (fate === "lost") return;
    const giver = this.find(from);
    const taker = this.find(to);
    const askedAt = this.read(taker);
    this.make(giver);
    const { tokens, lifeMs } = giver.purse.withdraw(4, this.read(giver));
    if (fate === "unanswered" || tokens === 0) return;
    taker.purse.add(tokens, askedAt + lifeMs);
  }

  private make(holder: Holder): void {
    holder.purse.issue(this.mint, 1 / this.count, this.read(holder));
  }

  private read({ behindMs }: Holder): number {
    return this.now - behindMs;
  }

  private find(index: number): Holder {
    const holder = this.holders[index % this.count];
    if (holder === undefined) throw new Error("there is a holder");
    return holder;
  }

  private makeHolder(): Holder {
    return { purse: new TokenPool(this.now), behindMs: 0 };
  }
}

/** What becomes of a question for tokens. */
type Fate = "answered" | "unanswered" | "lost";

const holder = fc.nat({ max: 11 });
const fate = fc.constantFrom<Fate>("answered", "answered", "unanswered", "lost");
const step = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant("run" as const),
      holder,
      fate,
      count: fc.integer({ min: 1, max: 60 }),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({ type: fc.constant("wait" as const), ms: fc.nat({ max: 900 }) }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant("kill" as const), holder }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant("killAll" as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant("pause" as const),
      holder,
      ms: fc.nat({ max: 6000 }),
    }),
  },
);

// Callers of one team send as much as they can at a dozen proxies, which give each other tokens. Questions
// and answers are lost, proxies are killed, singly and together, and stand still for longer than a token
// lives. Whatever comes of it, no window may have more of the team's operations than its bound allows.
test("no window has more than the bound, whatever is lost, killed or paused", () => {
  const rates = fc.record({
    perSecond: fc.constantFrom(0, 1, 5, 22, 121, 600),
    burst: fc.constantFrom(0, 5, 22, 121, 600),
  });
  fc.assert(
    fc.property(rates, fc.array(step, { minLength: 20, maxLength: 120 }), (rate, steps) => {
      const field = new Field(toTokenRate(rate, bounds), 12);
      for (const one of steps) {
        switch (one.type) {
          case "run":
            for (let i = 0; i < one.count; i += 1) field.run(one.holder, one.fate);
            break;
          case "wait":
            field.now += one.ms;
            break;
          case "kill":
            field.kill(one.holder);
            break;
          case "killAll":
            for (let i = 0; i < 12; i += 1) field.kill(i);
            break;
          case "pause":
            field.pause(one.holder, one.ms);
            break;
        }
      }
      expect(countWorst(field.ran, bounds.windowMs)).toBeLessThanOrEqual(findBound(rate, bounds));
    }),
    { seed: 11, numRuns: 400 },
  );
});

// A team stays under its rate, its callers spread unevenly over the proxies. What is refused below a
// team's limit is lost for nothing: with shares alone, and nothing given, half of it was.
test.each([5, 22, 121, 600])(
  "a team under its rate of %d is refused nearly nothing",
  (perSecond) => {
    const measure = (fateOfAll: Fate) => {
      const field = new Field(toTokenRate({ perSecond, burst: perSecond }, bounds), 12);
      field.now = 16_000;
      let due = 0;
      let count = 0;
      for (let i = 0; i < 3000; i += 1) {
        field.now += 10;
        due += perSecond / 160;
        while (due >= 1) {
          due -= 1;
          count += 1;
          // Half of it comes at one proxy, the rest here and there.
          field.run(count % 2 === 0 ? 0 : (count * 7) % 12, fateOfAll);
        }
      }
      return field.refused / count;
    };
    expect(measure("answered")).toBeLessThan(0.01);
    expect(measure("lost")).toBeGreaterThan(0.3);
  },
);

// One team sends many times its rate. What the rate allows runs all the same, whoever asks for it.
test("a team far over its rate gets nearly all that the rate allows", () => {
  const rate = { perSecond: 22, burst: 22 };
  const field = new Field(toTokenRate(rate, bounds), 12);
  for (let i = 0; i < 3000; i += 1) {
    field.now += 10;
    field.run(i % 12, "answered");
    field.run(i % 3, "answered");
  }
  expect(field.ran.length).toBeGreaterThan(rate.perSecond * 30 * 0.95);
  expect(countWorst(field.ran, bounds.windowMs)).toBeLessThanOrEqual(findBound(rate, bounds));
});

test("a rate without bounds beyond it holds over a second, and lets single operations through", () => {
  const strict: RateBounds = { windowMs: 1000, overage: 0, slack: 0 };
  expect(toTokenRate({ perSecond: 100, burst: 50 }, strict).lifeMs).toBeCloseTo(425);
  expect(toTokenRate({ perSecond: 4, burst: 0 }, strict).lifeMs).toBe(250);
});

test("parts of tokens make a whole one together, and all lapse after their life", () => {
  const mint: TokenRate = { perSecond: 8, lifeMs: 1000 };
  const purse = new TokenPool(0);
  purse.issue(mint, 0.1, 500);
  expect(purse.take(500)).toBeUndefined();
  purse.add(0.7, 900);
  expect(purse.take(500)).toBeDefined();
  purse.issue(mint, 0.1, 60_000);
  expect(purse.count(60_000)).toBeLessThanOrEqual(0.8);
  expect(purse.count(61_001)).toBe(0);
});

const list = (...names: readonly string[]): readonly WeightedProxy[] =>
  names.map((vm) => ({ vm, weight: 1 }));

const start = (names: readonly string[], listed: readonly string[]) =>
  names.map((vm) => {
    const history = new RateShares(vm);
    history.updateProxies(list(...listed), 0);
    return history;
  });

const sumShares = (histories: readonly RateShares[], now: number) =>
  histories.reduce((sum, history) => {
    history.refresh(now);
    return sum + history.findShare(team, 3);
  }, 0);

// A proxy leaves as a release of the program makes it: it stops before it takes itself off the list. Its part
// is made by the others from then on, or callers would miss it with each proxy that is replaced in turn.
test("what a proxy that left made is taken over at once", () => {
  const histories = start(["a", "b"], ["a", "b", "c"]);
  expect(sumShares(histories, 9000)).toBeCloseTo(2 / 3);
  for (const history of histories) history.updateProxies(list("a", "b"), 10_000);
  expect(sumShares(histories, 10_000)).toBeCloseTo(1);
});

// A proxy comes. Counted by itself at once, it would make what others make too, who have not read of it yet,
// and one that is cut off goes on with the share that it knows for 8 s more.
test("a proxy that comes is counted by the others before it makes any", () => {
  const [first, cutOff] = start(["a", "b"], ["a", "b"]);
  const [newcomer] = start(["c"], ["a", "b"]);
  if (first === undefined || cutOff === undefined || newcomer === undefined)
    throw new Error("none");
  for (const history of [first, newcomer]) history.updateProxies(list("a", "b", "c"), 10_000);
  expect(sumShares([first, cutOff, newcomer], 17_999)).toBeCloseTo(1);
  // By now the one that is cut off has stopped.
  expect(sumShares([first, newcomer], 19_999)).toBeCloseTo(1 / 3);
  expect(sumShares([first, newcomer], 20_000)).toBeCloseTo(2 / 3);
});

// All processes lose their power. Those that begin again find the list as it was, and make at once what they
// made before; their callers would be refused what they are allowed otherwise, for ten seconds.
test("a process that begins finds those that were listed before it", () => {
  expect(sumShares(start(["a", "b", "c"], ["a", "b", "c"]), 0)).toBeCloseTo(1);
});

// Each team has its own few makers, and each of those an equal part where they are alike.
test("a team's makers share its rate, and other proxies make none of it", () => {
  const names = Array.from({ length: 12 }, (_, i) => `vm-${i}`);
  const shares = start(names, names).map((history) => history.findShare(team, 3));
  expect(shares.filter((share) => share > 0)).toHaveLength(3);
  expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(1);
});
