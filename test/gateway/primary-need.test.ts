import { expect, test } from "@jest/globals";
import {
  applyRedirect,
  chooseReadWay,
  PrimaryNeeds,
  type PrimaryNeed,
} from "../../src/gateway/primary-need.js";
import type { Mark } from "../../src/model/index.js";

const makeMark = (offset: number): Mark => ({ term: { round: 1, vm: "" }, offset });
const [older, newer] = [makeMark(5), makeMark(9)];

/** Applies redirects of reads without a commit at the given times. */
const redirectAt = (...times: readonly number[]): PrimaryNeed =>
  times.reduce<PrimaryNeed | undefined>(
    (need, at) => applyRedirect(need, undefined, at),
    undefined,
  ) ?? fail();

function fail(): never {
  throw new Error("no redirect was given");
}

test("reads go to the near gateway until one is redirected", () => {
  expect(chooseReadWay(undefined, undefined, false, 0)).toBe("near");
});

test("after a redirect reads go to the primary's gateways for 80 ms", () => {
  const need = redirectAt(1000);
  expect(chooseReadWay(need, undefined, false, 1000)).toBe("primary");
  expect(chooseReadWay(need, undefined, false, 1079)).toBe("primary");
  expect(chooseReadWay(need, undefined, false, 1080)).toBe("probe");
});

test("after the period one read at a time goes to the near gateway", () => {
  const need = redirectAt(1000);
  expect(chooseReadWay(need, undefined, true, 1080)).toBe("primary");
});

test("the period doubles with each redirect after its end, up to 400 ms", () => {
  const times = [1000, 1080, 1240, 1560, 1960];
  const periods = times.map((_, i) => redirectAt(...times.slice(0, i + 1)).periodMs);
  expect(periods).toEqual([80, 160, 320, 400, 400]);
});

// Reads that were under way at the first redirect are redirected as well. If each of them doubled the period, a
// burst would keep reads away from replicas for 400 ms at once.
test("redirects within the period don't extend it", () => {
  expect(redirectAt(1000, 1001, 1002, 1079)).toEqual(redirectAt(1000));
});

// A read after a recent commit finds the replicas behind, which says nothing about reads of other sessions.
test("a redirect after a commit holds only for reads after the same or a later commit", () => {
  const need = applyRedirect(undefined, newer, 1000);
  expect(chooseReadWay(need, undefined, false, 1010)).toBe("near");
  expect(chooseReadWay(need, older, false, 1010)).toBe("near");
  expect(chooseReadWay(need, newer, false, 1010)).toBe("primary");
  expect(chooseReadWay(applyRedirect(need, older, 1010), older, false, 1020)).toBe("primary");
  expect(chooseReadWay(applyRedirect(need, undefined, 1010), newer, false, 1020)).toBe("primary");
});

// Sessions that write all the time would otherwise raise the period to 400 ms, although each replica receives
// each commit within its lag.
test("a redirect after a later commit starts with the first period", () => {
  const first = applyRedirect(undefined, older, 1000);
  expect(applyRedirect(first, newer, 1080)).toEqual({
    mark: newer,
    validUntil: 1160,
    periodMs: 80,
  });
  expect(applyRedirect(first, older, 1080).periodMs).toBe(160);
});

test("an answer of a replica to a probe ends the period; another end of the probe does not", () => {
  const needs = new PrimaryNeeds();
  needs.recordRedirect("k", undefined, 1000);
  expect(needs.choose("other", undefined, 1010)).toBe("near");
  expect(needs.choose("k", undefined, 1100)).toBe("probe");
  expect(needs.choose("k", undefined, 1100)).toBe("primary");
  needs.endProbe("k", false);
  expect(needs.choose("k", undefined, 1101)).toBe("probe");
  needs.endProbe("k", true);
  expect(needs.choose("k", undefined, 1102)).toBe("near");
});
