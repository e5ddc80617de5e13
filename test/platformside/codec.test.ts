import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { callerCodec } from "../../platform/callers.js";
import { parseSettings } from "../../platform/settings.js";
import { decodeTargetEntry } from "../../platform/entries.js";
import { decodeRouteTable } from "../../platform/feed.js";
import { parseReport, targetCodec } from "../../platform/targets.js";
import { formatPosition, parsePosition } from "../../platform/protocol.js";
import { decodeLeadership } from "../../src/leadership/index.js";
import type { Reply, TargetCommand } from "../../src/statement/index.js";

const word = fc.stringMatching(/^[a-z0-9_]{1,12}$/);
const data = fc
  .string({ unit: "binary-ascii", maxLength: 30 })
  .map((s) => s.replace(/[\r\n]/g, "_"));
const mark = fc.record({
  term: fc.record({ round: fc.nat(), vm: fc.constant("") }),
  offset: fc.nat(),
});

test("a read or write reaches the target with its id and text unchanged", () => {
  fc.assert(
    fc.property(
      word,
      word,
      data,
      fc.option(mark, { nil: undefined }),
      (id, item, rest, atLeast) => {
        const text = `WRITE ${item} ${rest}`;
        const message = callerCodec.parse(`QUERY ${id} ${text}`);
        expect(message).toMatchObject({
          type: "statement",
          statement: { id, text, effect: "write" },
        });
        const work = { type: "access", id, effect: "write", text } as const;
        const command: TargetCommand =
          atLeast === undefined ? { type: "work", work } : { type: "work", work, atLeast };
        const since = atLeast === undefined ? "" : `SINCE ${formatPosition(atLeast)} `;
        expect(targetCodec.encode(command)).toBe(`QUERY ${id} ${since}${text}`);
      },
    ),
    { seed: 3 },
  );
});

test("an answer of a target is passed on unchanged", () => {
  fc.assert(
    fc.property(fc.array(data), data, mark, (rows, signature, at) => {
      const lines = [
        ...rows.map((row) => `DATAROW ${row}`),
        `COMPLETE ${signature}`,
        `READY T ${formatPosition(at)}`,
      ];
      const reader = targetCodec.createReader("command");
      const reads = lines.map((line) => reader.read(line));
      expect(reads.slice(0, -1).every((read) => read === "more")).toBe(true);
      const reply = reads.at(-1) as Reply;
      expect(callerCodec.encodeReply(reply)).toBe(lines.map((line) => `${line}\r\n`).join(""));
    }),
    { seed: 4 },
  );
});

test("a position is parsed as it was formatted, and a malformed one is undefined", () => {
  fc.assert(
    fc.property(mark, (m) => expect(parsePosition(formatPosition(m))).toEqual(m)),
    { seed: 5 },
  );
  for (const text of ["-", "", "3", "3.x", "x.3", "3.1.2"])
    expect(parsePosition(text)).toBeUndefined();
});

test("no line makes the parser throw", () => {
  fc.assert(
    fc.property(data, (line) => {
      expect(callerCodec.parse(line).type).toBeDefined();
      expect(callerCodec.parse(`QUERY ${line}`).type).toMatch(/^(badStatement|statement)$/);
    }),
    { seed: 6 },
  );
});

test("an unknown error code counts as in doubt", () => {
  const reader = targetCodec.createReader("command");
  reader.read("ERROR NEWWORD why");
  expect(reader.read("READY I -")).toMatchObject({ end: { code: "inDoubt" } });
});

test("a refused opening line is answered with an error alone", () => {
  const reader = targetCodec.createReader("opening");
  expect(reader.read("ERROR TOOMANYCON full")).toMatchObject({
    end: { type: "error", code: "tooManyConnections" },
  });
});

test("a target's status row is parsed, and a malformed one is undefined", () => {
  const reply = (row: string): Reply => ({
    rows: [row],
    end: { type: "complete", signature: "-" },
    state: "idle",
  });
  expect(parseReport(reply("replica 3 3.1209 4 12 2 17"))).toEqual({
    role: "replica",
    received: { term: { round: 3, vm: "" }, offset: 1209 },
    round: 4,
    lagMs: 12,
  });
  expect(parseReport(reply("busy"))).toBeUndefined();
});

const settingsText = [
  "node-name=vm-1",
  "zone=a",
  "listen.frontend=10.0.0.1:1",
  "listen.readiness=10.0.0.1:2",
  "platform.address=10.0.0.2:3",
  "cloud-api.address=10.0.0.3:4",
];

test("settings are parsed, and each missing or malformed field is named", () => {
  const read = parseSettings(settingsText.join("\n"));
  expect(read).toMatchObject({ type: "read", settings: { vm: "vm-1", graceMs: 6000 } });
  const faulty = parseSettings(
    [...settingsText.slice(1, 4), "platform.address=here", "bounds.grace-s=soon"].join("\n"),
  );
  expect(faulty).toEqual({
    type: "faulty",
    faults: [
      "node-name: missing",
      "platform.address: not HOST:PORT: here",
      "cloud-api.address: missing",
      "bounds.grace-s: not a number: soon",
    ],
  });
});

// One data centre's faulty entry must not end the process or take the others' regions away.
test("a data centre without a region in the settings leaves the other regions in effect", () => {
  const zones = ["zones.a=east", "zones.b= ", "zones.c=west"];
  const read = parseSettings([...settingsText, ...zones].join("\n"));
  if (read.type !== "read") throw new Error(read.faults.join());
  const { topology, dataCentres } = read.settings;
  expect(dataCentres).toBe(3);
  expect(topology.hasRegions).toBe(true);
  expect(topology.listWithoutRegion()).toEqual(["b"]);
  expect(topology.measureDistance("a", "c")).toBe("remote");
  expect(topology.measureDistance("a", "b")).toBe("remote");
});

test.each([
  ["no version", { routes: [], services: [] }],
  [
    "a route of an unknown kind",
    { version: 1, routes: [{ host: "a", service: "s", type: "x" }], services: [] },
  ],
  ["routes that are not a list", { version: 1, routes: {}, services: [] }],
  ["a value of null", null],
])("a configuration with %s is rejected", (_name, value) => {
  expect(decodeRouteTable(value)).toBeUndefined();
});

// A service's `sync-replicas` was read nowhere. An unknown value counts as set, since to wait costs less than a commit.
test("the groups whose commits replicas acknowledge are decoded", () => {
  const services = [0, undefined, 1, 2, "1", null].map((replicas, index) => ({
    name: `s${index}`,
    "sync-replicas": replicas,
  }));
  const table = decodeRouteTable({ version: 1, routes: [], services });
  expect([...(table?.synchronousGroups ?? [])]).toEqual(["s2", "s3", "s4"]);
});

// Numbers that are valid JSON or digits, and too large to be exact, were taken over and counted on from.
test("numbers that can't be exact are not taken over", () => {
  const table = { routes: [], services: [] };
  for (const version of [1e300, 1.5, -1])
    expect(decodeRouteTable({ ...table, version })).toBeUndefined();
  expect(parsePosition(`1.${"9".repeat(400)}`)).toBeUndefined();
  expect(parsePosition("1.9")).toEqual({ term: { round: 1, vm: "" }, offset: 9 });
  const reply = (row: string) => ({
    rows: [row],
    end: { type: "complete", signature: "s" } as const,
    state: "idle" as const,
  });
  expect(parseReport(reply("replica 3 3.9 1e999 12"))).toBeUndefined();
  expect(parseReport(reply("replica 3 3.9 4 12"))).toMatchObject({ round: 4 });
  const groups = { g: { type: "serving", round: 1e300, target: "i-1" } };
  expect(decodeLeadership({ groups })).toBeUndefined();
});

// The id stands in the line that opens a connection to the target.
test("an entry whose name is more than a word is refused", () => {
  const object = { kind: "servers", name: "i-1\r\nQUERY - RESET", version: 1, value: null };
  expect(decodeTargetEntry(object)).toEqual({
    type: "refused",
    entry: { name: object.name, field: "name" },
  });
});
