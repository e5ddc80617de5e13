import { expect, test } from "@jest/globals";
import { create } from "@bufbuild/protobuf";
import { decodeLoad, encodeLoad, type LoadReport } from "../../src/gateway/load-codec.js";
import { findReportFault, LoadTable } from "../../src/gateway/load-table.js";
import { GatewayLoadSchema } from "../../src/peer/gen/radishwalk/direct/v1/gateway_pb.js";

const report: LoadReport = { group: "g", role: "replica", waitMs: 40, lowestLevel: 1, ageMs: 20 };

// Guards against decisions by a load that has long passed.
test("a report older than 1,000 ms is not believed, counted from its figures", () => {
  const table = new LoadTable();
  table.record("a", report, 100);
  expect(table.find("a", "g", "replica", 100)).toEqual({ waitMs: 40, lowestLevel: 1, at: 80 });
  expect(table.find("a", "g", "replica", 1080)).toMatchObject({ waitMs: 40 });
  expect(table.find("a", "g", "replica", 1081)).toBeUndefined();
});

// Guards against statements that are refused for a second after their gateways admit them again.
test("a level counts as closed for 100 ms, while the wait is believed for longer", () => {
  const table = new LoadTable();
  table.record("a", { ...report, ageMs: 0 }, 0);
  expect(table.find("a", "g", "replica", 100)).toHaveProperty("lowestLevel", 1);
  expect(table.find("a", "g", "replica", 101)).toEqual({ waitMs: 40, at: 0 });
});

// Guards against a report of the replicas' load that decides about the primary, or about another group.
test("reports of other gateways, groups and roles are apart", () => {
  const table = new LoadTable();
  table.record("a", report, 0);
  expect(table.find("a", "g", "primary", 0)).toBeUndefined();
  expect(table.find("a", "h", "replica", 0)).toBeUndefined();
  expect(table.find("b", "g", "replica", 0)).toBeUndefined();
});

test("the reports of a lost gateway, or of a group that it left, are dropped", () => {
  const table = new LoadTable();
  table.record("a", report, 0);
  table.record("a", { ...report, group: "h" }, 0);
  table.forgetGroup("a", "h");
  expect(table.find("a", "h", "replica", 0)).toBeUndefined();
  expect(table.find("a", "g", "replica", 0)).toBeDefined();
  table.forget("a");
  expect(table.find("a", "g", "replica", 0)).toBeUndefined();
});

test("negative, absurd and undefined times are faults", () => {
  expect(findReportFault(report)).toBeUndefined();
  expect(findReportFault({ ...report, ageMs: 60_000 })).toBeUndefined();
  for (const ageMs of [-1, 60_001, Number.NaN, Infinity])
    expect(findReportFault({ ...report, ageMs })).toContain(`${ageMs}`);
  expect(findReportFault({ ...report, waitMs: 2 ** 32 - 1 })).toContain("4294967295");
});

test("a report survives its message, and one of an unknown role is ignored", () => {
  expect(decodeLoad(encodeLoad(report))).toEqual(report);
  const open = { group: "g", role: "primary", waitMs: 3, ageMs: 0 } as const;
  expect(decodeLoad(encodeLoad(open))).toEqual(open);
  expect(decodeLoad(create(GatewayLoadSchema, { group: "g" }))).toBeUndefined();
});
