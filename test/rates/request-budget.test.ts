import { expect, test } from "@jest/globals";
import { RequestBudget } from "../../src/rates/request-budget.js";

const limitOfTeam = 40;

// Answers with tokens arrive after the window of their requests has ended. If they reduced the count of the new window,
// requests that bring none would exceed the limit.
test("a grant of an earlier window does not make room in the current one", () => {
  const budget = new RequestBudget();
  for (let i = 0; i < 6; i += 1) budget.recordRequest("cello", 900);
  for (let i = 0; i < limitOfTeam; i += 1) budget.recordRequest("cello", 2000);
  expect(budget.canRequest("cello", 2000)).toBe(false);
  budget.recordGrant("cello", 900, 2010);
  expect(budget.canRequest("cello", 2010)).toBe(false);
  budget.recordGrant("cello", 2000, 2020);
  expect(budget.canRequest("cello", 2020)).toBe(true);
});
