import { expect, test } from "@jest/globals";
import * as fc from "fast-check";
import { decodeTargetEntry } from "../../platform/entries.js";
import { decodeTargetListing } from "../../platform/feed.js";
import type { Json, StoredObject } from "../../src/model/index.js";

const whole = {
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

const fields = Object.keys(whole) as readonly (keyof typeof whole)[];

const store = (name: string, value: Json): StoredObject => ({
  kind: "targets",
  name,
  version: 1,
  value,
});

const listNames = (objects: readonly StoredObject[]) =>
  decodeTargetListing(objects).targets.map(({ target }) => target.name);

/** A value of another type than the one that stands in a target's entry. */
const wrong = (field: keyof typeof whole) =>
  typeof whole[field] === "number"
    ? fc.oneof(
        fc.constant(null),
        fc.boolean(),
        fc.string(),
        fc.constantFrom(-1, -0.5),
        fc.array(fc.nat()),
      )
    : fc.oneof(fc.constant(null), fc.boolean(), fc.nat(), fc.constant(""), fc.array(fc.string()));

test("a target's own entry names it, with all that it says", () => {
  expect(decodeTargetEntry(store("i-1", whole))).toEqual({
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

// Somebody else writes among the targets' entries and leaves a field out. Filled up with defaults it
// would name a target to which statements are sent, and which nobody runs. Targets of an older version
// do not say when they were started; their entries hold.
test("an entry without one of the fields names no target", () => {
  for (const field of fields.filter((name) => name !== "born")) {
    const { [field]: left, ...rest } = whole;
    expect(left).toBeDefined();
    expect(decodeTargetEntry(store("i-1", rest))).toEqual({
      type: "refused",
      entry: { name: "i-1", field },
    });
  }
  const { born, ...older } = whole;
  expect(born).toBeDefined();
  expect(decodeTargetEntry(store("i-1", older)).type).toBe("target");
});

test("an entry with a field of another type names no target, and the others hold", () => {
  fc.assert(
    fc.property(
      fc.constantFrom(...fields).chain((field) => fc.tuple(fc.constant(field), wrong(field))),
      ([field, value]) => {
        const objects = [
          store("i-1", whole),
          store("i-2", { ...whole, [field]: value }),
          store("i-3", whole),
        ];
        expect(listNames(objects)).toEqual(["i-1", "i-3"]);
        expect(decodeTargetListing(objects).refused).toEqual([{ name: "i-2", field }]);
      },
    ),
    { seed: 71, numRuns: 300 },
  );
});

test("words and addresses that are not known name no target", () => {
  const refuse = (change: object) => decodeTargetEntry(store("i-1", { ...whole, ...change })).type;
  expect(refuse({ state: "starting" })).toBe("refused");
  expect(refuse({ "db-role": "witness" })).toBe("refused");
  for (const address of ["10.0.0.4", ":80", "10.0.0.4:", "10.0.0.4:http", "10.0.0.4:0", "h:99999"])
    expect(refuse({ address })).toBe("refused");
  expect(refuse({ capacity: 0 })).toBe("refused");
  expect(refuse({ born: 1.5 })).toBe("refused");
});

test("whatever stands in an entry, reading the list does not fail", () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      expect(listNames([store("x", value as Json), store("i-1", whole)])).toContain("i-1");
    }),
    { seed: 72, numRuns: 300 },
  );
});

test("an entry of unreadable bytes names no target", () => {
  expect(decodeTargetEntry(store("i-1", "\u0000\ufffd\ufffd{")).type).toBe("refused");
  expect(decodeTargetEntry(store("i-1", null)).type).toBe("refused");
});
