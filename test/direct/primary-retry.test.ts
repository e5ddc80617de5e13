import { expect, test } from "@jest/globals";
import { choosePrimaryRetryMs } from "../../src/direct/primary-retry.js";

const failing = { readyInMs: 300, isFailing: true, isWaitOver: true, isSlotPlanned: true };

// A primary crashes and is replaced within a second or two. Callers that were told to return for the next probe of it
// would be refused again, and have no retry left when the new primary serves.
test("a caller that waited for a failing primary returns once it may have been replaced", () => {
  expect(choosePrimaryRetryMs(failing, () => 0)).toBe(1000);
  expect(choosePrimaryRetryMs(failing, () => 0.5)).toBe(1250);
  expect(choosePrimaryRetryMs({ ...failing, readyInMs: 2000 }, () => 0)).toBe(2000);
});

test.each([{ isFailing: false }, { isWaitOver: false }, { isSlotPlanned: false }])(
  "the hint is the expected time, without a random draw, with %j",
  (fields) => {
    const draw = () => {
      throw new Error("a number was drawn");
    };
    expect(choosePrimaryRetryMs({ ...failing, ...fields }, draw)).toBe(300);
  },
);
