import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  findMarkCoverage,
  firstTerm,
  formatMark,
  parseMark,
  type Lineage,
  type Mark,
} from "../../src/model/index.js";

const term = (round: number, vm = "a") => ({ round, vm });
const mark = (round: number, offset: number, vm = "a"): Mark => ({ term: term(round, vm), offset });
const lineage: Lineage = [
  { term: firstTerm, start: 0 },
  { term: term(1), start: 4 },
  { term: term(3), start: 9 },
];

test("a mark of a term in the lineage is reached up to where the next term begins", () => {
  expect(findMarkCoverage(lineage, mark(3, 12), mark(1, 9))).toEqual({ type: "reached" });
  expect(findMarkCoverage(lineage, mark(3, 12), mark(1, 10))).toEqual({ type: "cut", at: 9 });
  expect(findMarkCoverage(lineage, mark(3, 12), mark(3, 14))).toEqual({
    type: "behind",
    missing: 2,
  });
});

// A caller saw a write of a primary whose term has no record in the group's log.
// The mark's offset is before the start of the next term, but the record at that offset is a different
// one, so the mark must be reported as cut and never as reached.
test("a mark of a term that is missing from the lineage is cut", () => {
  expect(findMarkCoverage(lineage, mark(3, 12), mark(2, 5, "b"))).toEqual({ type: "cut", at: 9 });
});

test("a log lags behind a mark of a newer term than its own", () => {
  expect(findMarkCoverage(lineage, mark(3, 12), mark(4, 12))).toEqual({
    type: "behind",
    missing: 1,
  });
});

test("formatted marks are parsed to the same marks", () => {
  const marks = fc.record({
    term: fc.record({ round: fc.nat(), vm: fc.stringMatching(/^[a-z0-9.-]{0,12}$/) }),
    offset: fc.nat(),
  });
  fc.assert(
    fc.property(marks, (m) => {
      expect(parseMark(formatMark(m))).toEqual(m);
    }),
    { seed: 1 },
  );
});
