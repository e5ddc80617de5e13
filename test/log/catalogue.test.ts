import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { expect, test } from "@jest/globals";
import { eventCategories, loadEvents, renderCatalogue } from "../../src/log/index.js";

const events = await loadEvents(resolve("src/log/events"));
const collapse = (page: string) => page.replaceAll(/-+/g, "-").replaceAll(/ +/g, " ");

test("numbers and names are unique, and each number belongs to a category", () => {
  expect(new Set(events.map((e) => e.id)).size).toBe(events.length);
  expect(new Set(events.map((e) => e.name)).size).toBe(events.length);
  expect(events.filter((e) => eventCategories[Math.floor(e.id / 1000)] === undefined)).toEqual([]);
});

test("docs/EVENTS.md matches the events in the code (npm run events)", () => {
  expect(collapse(readFileSync("docs/EVENTS.md", "utf8"))).toBe(collapse(renderCatalogue(events)));
});
