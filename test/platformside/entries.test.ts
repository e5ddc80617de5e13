import { expect, test } from "@jest/globals";
import * as fc from "fast-check";
import { decodeTargetEntry } from "../../platform/entries.js";
import { decodeTargetListing } from "../../platform/feed.js";
import type { Json, StoredObject } from "../../src/model/index.js";

const validEntry = {
  service: "ledger",
  address: "10.0.0.4:8080",
  zone: "a",
  version: "v1",
  capacity: 3,
  state: "ready",
  "cold-remaining-ms": 0,
  "db-role": "replica",
  sequence: 4,
  born: 1_790_000_000_000,
};

const fields = Object.keys(validEntry) as readonly (keyof typeof validEntry)[];

const makeObject = (name: string, value: Json): StoredObject => ({
  kind: "targets",
  name,
  version: 1,
  value,
});

const listNames = (objects: readonly StoredObject[]) =>
  decodeTargetListing(objects).targets.map(({ target }) => target.name);

/** A value of another type than the field has in a target's entry, or out of range. */
const arbitraryInvalidValue = (field: keyof typeof validEntry) =>
  typeof validEntry[field] === "number"
    ? fc.oneof(
        fc.constant(null),
        fc.boolean(),
        fc.string(),
        fc.constantFrom(-1, -0.5),
        fc.array(fc.nat()),
      )
    : fc.oneof(fc.constant(null), fc.boolean(), fc.nat(), fc.constant(""), fc.array(fc.string()));

test("a target's own entry is decoded with all its fields", () => {
  expect(decodeTargetEntry(makeObject("i-1", validEntry))).toEqual({
    type: "target",
    entry: {
      group: "ledger",
      target: {
        name: "i-1",
        address: { host: "10.0.0.4", port: 8080 },
        dataCentre: "a",
        slots: 3,
        connections: 16,
        isLeaving: false,
        announcedRole: "replica",
        startedAt: 1_790_000_000_000,
      },
    },
  });
});

// Something other than a target writes an entry that lacks a field. Completed with defaults it would add a
// target that does not exist, to which statements would be sent. Targets of an older version don't report
// when they were started; their entries are valid.
test("an entry without one of the required fields is refused", () => {
  for (const field of fields.filter((name) => name !== "born")) {
    const { [field]: left, ...rest } = validEntry;
    expect(left).toBeDefined();
    expect(decodeTargetEntry(makeObject("i-1", rest))).toEqual({
      type: "refused",
      entry: { name: "i-1", field },
    });
  }
  const { born, ...older } = validEntry;
  expect(born).toBeDefined();
  expect(decodeTargetEntry(makeObject("i-1", older)).type).toBe("target");
});

test("an entry with a field of the wrong type is refused, and the others are kept", () => {
  fc.assert(
    fc.property(
      fc
        .constantFrom(...fields)
        .chain((field) => fc.tuple(fc.constant(field), arbitraryInvalidValue(field))),
      ([field, value]) => {
        const objects = [
          makeObject("i-1", validEntry),
          makeObject("i-2", { ...validEntry, [field]: value }),
          makeObject("i-3", validEntry),
        ];
        expect(listNames(objects)).toEqual(["i-1", "i-3"]);
        expect(decodeTargetListing(objects).invalidEntries).toEqual([{ name: "i-2", field }]);
      },
    ),
    { seed: 71, numRuns: 300 },
  );
});

test("entries with unknown words or malformed values are refused", () => {
  const refuse = (change: object) =>
    decodeTargetEntry(makeObject("i-1", { ...validEntry, ...change })).type;
  expect(refuse({ state: "starting" })).toBe("refused");
  expect(refuse({ "db-role": "witness" })).toBe("refused");
  for (const address of ["10.0.0.4", ":80", "10.0.0.4:", "10.0.0.4:http", "10.0.0.4:0", "h:99999"])
    expect(refuse({ address })).toBe("refused");
  expect(refuse({ capacity: 0 })).toBe("refused");
  expect(refuse({ born: 1.5 })).toBe("refused");
});

test("the list is decoded whatever an entry contains", () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      expect(listNames([makeObject("x", value as Json), makeObject("i-1", validEntry)])).toContain(
        "i-1",
      );
    }),
    { seed: 72, numRuns: 300 },
  );
});

test("an entry that is not a JSON object is refused", () => {
  expect(decodeTargetEntry(makeObject("i-1", "\u0000\ufffd\ufffd{")).type).toBe("refused");
  expect(decodeTargetEntry(makeObject("i-1", null)).type).toBe("refused");
});
