import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { LineSplitter, type LineEvent } from "../../src/lines/index.js";

const limit = 64;

/** Feeds a text in pieces cut at the given places. */
function feed(text: string, cuts: readonly number[]): readonly LineEvent[] {
  const splitter = new LineSplitter(limit);
  const bytes = Buffer.from(text, "latin1");
  const places = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))].sort((a, b) => a - b);
  const events: LineEvent[] = [];
  let start = 0;
  for (const end of [...places, bytes.length]) {
    events.push(...splitter.push(bytes.subarray(start, end)));
    start = end;
  }
  return events;
}

const plain = fc
  .string({ unit: "binary-ascii", maxLength: 40 })
  .map((s) => s.replace(/[\r\n]/g, "_"));

test("lines come out whole and unchanged, however they are cut", () => {
  fc.assert(
    fc.property(fc.array(plain), fc.array(fc.nat()), (lines, cuts) => {
      const text = lines.map((line) => `${line}\r\n`).join("");
      expect(feed(text, cuts)).toEqual(lines.map((line) => ({ type: "line", text: line })));
    }),
    { seed: 1 },
  );
});

// A statement with a lone CR or LF is cut differently by a reader that takes it for a line's end: the
// rest would run as a statement that no caller sent.
test("a lone CR or LF ends the input, and nothing after it is read", () => {
  fc.assert(
    fc.property(
      plain,
      fc.constantFrom("\r", "\n"),
      plain,
      fc.array(fc.nat()),
      (a, stray, b, cuts) => {
        const events = feed(`${a}${stray}${b}_\r\nREAD x\r\n`, cuts);
        expect(events).toEqual([{ type: "unreadable", reason: "strayBreak" }]);
      },
    ),
    { seed: 2 },
  );
});

test("a line over the limit is refused before its end comes", () => {
  expect(feed("x".repeat(limit + 2), [10, 30])).toEqual([
    { type: "unreadable", reason: "tooLong" },
  ]);
  expect(feed(`${"x".repeat(limit - 1)}\r\n`, [])).toHaveLength(1);
});
