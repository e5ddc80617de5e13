import { expect, test } from "@jest/globals";
import { decodeRouteTable } from "../../platform/feed.js";
import { decodeTeams } from "../../platform/teams.js";

const validTeam = { name: "cello", "api-keys": ["k1"], "rate-per-s": 5, burst: 7 };
const decoded = { name: "cello", plan: "paying", keys: ["k1"], rate: { perSecond: 5, burst: 7 } };

test("a team is decoded with its keys and its rate", () => {
  expect(decodeTeams([validTeam])).toEqual({ teams: [decoded], faults: [] });
});

// One team of a configuration is invalid. Completed with guesses, its statements could run for the wrong
// team or without a limit; if the whole configuration were refused, a key that it revokes elsewhere would
// stay valid.
test.each([
  ["no name", { "api-keys": ["x"] }, "name"],
  ["a name with a blank", { ...validTeam, name: "big cello" }, "name"],
  ["a name with a line break", { ...validTeam, name: "big\r\ncello" }, "name"],
  ["a name that is taken", { ...validTeam, "api-keys": ["x"] }, "name"],
  ["no keys", { name: "viola" }, "api-keys"],
  ["keys that are not a list", { name: "viola", "api-keys": "x" }, "api-keys"],
  ["an empty key", { name: "viola", "api-keys": [""] }, "api-keys"],
  ["a key with a line break", { name: "viola", "api-keys": ["a\nb"] }, "api-keys"],
  ["a key of 1 MiB", { name: "viola", "api-keys": ["x".repeat(1 << 20)] }, "api-keys"],
  ["a rate below 0", { ...validTeam, name: "viola", "rate-per-s": -1 }, "rate-per-s"],
  ["a rate that is not a number", { ...validTeam, name: "viola", "rate-per-s": "5" }, "rate-per-s"],
  ["a rate beyond 2^53", { ...validTeam, name: "viola", "rate-per-s": 2 ** 54 }, "rate-per-s"],
  ["a burst below 0", { ...validTeam, name: "viola", burst: -1 }, "burst"],
])("a team with %s is left out, and the others stay", (_name, tenant, field) => {
  const { teams, faults } = decodeTeams([validTeam, tenant]);
  expect(teams).toEqual([decoded]);
  expect(faults).toEqual([expect.objectContaining({ field })]);
});

test("a rate of 0 is kept, and a team without a rate is not limited", () => {
  const zeroRate = { ...validTeam, "rate-per-s": 0, burst: 0 };
  expect(decodeTeams([zeroRate]).teams[0]?.rate).toEqual({ perSecond: 0, burst: 0 });
  expect(decodeTeams([{ name: "viola", "api-keys": ["k2"] }]).teams[0]).not.toHaveProperty("rate");
});

test("a key that two teams hold is valid for neither, and a key may contain spaces", () => {
  const { teams, faults } = decodeTeams([
    { name: "cello", "api-keys": ["same", "a b"] },
    { name: "viola", "api-keys": ["same", "k2"] },
  ]);
  expect(teams.map(({ keys }) => keys)).toEqual([["a b"], ["k2"]]);
  expect(faults).toHaveLength(2);
});

test("ten thousand keys are decoded, each for its team", () => {
  const tenants = Array.from({ length: 100 }, (_, t) => ({
    name: `team${t}`,
    "api-keys": Array.from({ length: 100 }, (_unused, k) => `key-${t}-${k}`),
  }));
  const table = decodeRouteTable({ version: 1, routes: [], services: [], tenants });
  expect(table?.roster?.findByKey("key-73-41")?.name).toBe("team73");
  expect(table?.invalidEntries).toEqual([]);
});

test("a configuration whose teams are not a list is rejected, and one without teams has no roster", () => {
  const plain = { version: 1, routes: [], services: [] };
  expect(decodeRouteTable({ ...plain, tenants: {} })).toBeUndefined();
  expect(decodeRouteTable(plain)).not.toHaveProperty("roster");
});

test("a route is public only if its field is true", () => {
  const route = { host: "stock", service: "s", type: "primary" };
  const open = [true, "true", 1, undefined].map((isOpen) => {
    const routes = [{ ...route, public: isOpen }];
    return decodeRouteTable({ version: 1, routes, services: [] })?.databases.get("stock")?.isPublic;
  });
  expect(open).toEqual([true, false, false, false]);
});
