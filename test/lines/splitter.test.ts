import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { LineSplitter, type LineEvent } from "../../src/lines/index.js";

const limit = 64;

/** Feeds a text in chunks that are split at the given offsets. */
function feed(text: string, cuts: readonly number[]): readonly LineEvent[] {
  const splitter = new LineSplitter(limit);
  const bytes = Buffer.from(text, "latin1");
  const offsets = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))].sort((a, b) => a - b);
  const events: LineEvent[] = [];
  let start = 0;
  for (const end of [...offsets, bytes.length]) {
    events.push(...splitter.push(bytes.subarray(start, end)));
    start = end;
  }
  return events;
}

const plain = fc
  .string({ unit: "binary-ascii", maxLength: 40 })
  .map((s) => s.replace(/[\r\n]/g, "_"));

test("lines are complete and unchanged, however the stream is divided into chunks", () => {
  fc.assert(
    fc.property(fc.array(plain), fc.array(fc.nat()), (lines, cuts) => {
      const text = lines.map((line) => `${line}\r\n`).join("");
      expect(feed(text, cuts)).toEqual(lines.map((line) => ({ type: "line", text: line })));
    }),
    { seed: 1 },
  );
});

// A reader that accepts a lone CR or LF as a line break would split a statement that contains one, and the
// rest would run as a statement that no caller sent.
test("a lone CR or LF is an error, and nothing after it is read", () => {
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

test("a line over the limit is refused before it is complete", () => {
  expect(feed("x".repeat(limit + 2), [10, 30])).toEqual([
    { type: "unreadable", reason: "tooLong" },
  ]);
  expect(feed(`${"x".repeat(limit - 1)}\r\n`, [])).toHaveLength(1);
});
