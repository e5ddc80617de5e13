import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { FrameSplitter } from "../../src/target/index.js";

function makeMessage(body: Uint8Array): Buffer {
  const header = Buffer.from("D\0\0\0\0");
  header.writeInt32BE(body.length + 4, 1);
  return Buffer.concat([header, body]);
}

// If the splitter loses the bytes of a chunk that ends within a message's header, the rest of a large answer
// never arrives. Complete messages must come out wherever the stream is divided.
test("messages come out complete wherever the stream is divided", () => {
  const bodies = fc.array(fc.uint8Array({ maxLength: 20 }), { maxLength: 8 });
  const sizes = fc.infiniteStream(fc.integer({ min: 1, max: 12 }));
  fc.assert(
    fc.property(bodies, sizes, (all, cuts) => {
      const messages = all.map(makeMessage);
      let rest = Buffer.concat(messages);
      const frames = new FrameSplitter();
      const out: Buffer[] = [];
      while (rest.length > 0) {
        const size = cuts.next().value as number;
        out.push(...frames.push(rest.subarray(0, size)));
        rest = rest.subarray(size);
      }
      expect(out).toEqual(messages);
      expect(frames.hasPartialMessage).toBe(false);
    }),
    { seed: 1 },
  );
});
