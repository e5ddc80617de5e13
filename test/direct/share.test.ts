import { expect, test } from "@jest/globals";
import { buildEqualShare, computeShare } from "../../src/direct/share.js";

const connections = 16;
const spare = 1;
const listNames = (count: number) => Array.from({ length: count }, (_, i) => `node-${i}`);
const computeShares = (target: string, names: readonly string[]) =>
  names.map((own) =>
    computeShare(
      connections,
      { name: target, slots: 2, announcedRole: "replica" },
      buildEqualShare(own, names),
    ),
  );
const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

// With one proxy more than divides the limit, each had a single slot at a target, and half of the connections were
// unused. A transaction whose caller was idle then kept that slot, and everything behind it was refused.
test("connections that an equal division leaves over are shared out as well", () => {
  for (let count = 8; count < 16; count += 1) {
    const shares = computeShares("i-0", listNames(count));
    expect(sum(shares.map(({ max }) => max))).toBe(connections - spare);
    expect(shares.every(({ max, slots }) => slots === max)).toBe(true);
  }
});

test("the shares of all proxies stay within a target's limit, whatever their number", () => {
  for (let count = 1; count <= 15; count += 1) {
    const shares = computeShares("i-0", listNames(count));
    expect(sum(shares.map(({ max }) => max))).toBeLessThanOrEqual(connections - spare);
  }
});

test("different targets leave different proxies without what is left over", () => {
  const names = listNames(8);
  const targets = Array.from({ length: 24 }, (_, i) => `i-${i}`);
  const short = targets.map((t) => computeShares(t, names).findIndex(({ max }) => max === 1));
  expect(new Set(short).size).toBeGreaterThan(4);
});

test("a proxy that is not listed counts on none of what is left over", () => {
  const rule = buildEqualShare("new", listNames(8));
  const target = { name: "i-0", slots: 2, announcedRole: "replica" } as const;
  expect(computeShare(connections, target, rule).max).toBe(1);
});
