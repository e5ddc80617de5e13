import { afterEach, expect, test } from "@jest/globals";
import { GatewayRole } from "../../src/peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { chooseReportRole } from "../../src/gateway/load-report.js";
import { LoadReporter, LoadSource } from "../../src/gateway/load-source.js";
import { group, ProxyFixture, type FixtureOptions } from "../direct/fixture.js";

let fixture: ProxyFixture = new ProxyFixture();
let refusal: string | undefined;

afterEach(() => fixture.dispose());

function start(options: FixtureOptions = {}) {
  fixture = new ProxyFixture({ isSlotPlanned: true, ...options });
  refusal = undefined;
  const { ports: direct, groups } = fixture;
  const source = new LoadSource({ direct, groups, findRefusal: () => refusal });
  return { source, reporter: new LoadReporter(source) };
}

// Guards against reports that cost a visible amount of time and bytes.
test("a connection reports a group and role at most once in 50 ms, and with each refusal", () => {
  expect(chooseReportRole({}, "replica", false, 0)).toBe("replica");
  expect(chooseReportRole({ replica: 0 }, "replica", false, 49)).toBe("primary");
  expect(chooseReportRole({ replica: 0, primary: 10 }, "replica", false, 49)).toBeUndefined();
  expect(chooseReportRole({ replica: 0, primary: 10 }, "replica", false, 50)).toBe("replica");
  expect(chooseReportRole({ replica: 0, primary: 10 }, "replica", true, 20)).toBe("replica");
});

test("many answers within 50 ms carry one report for each role", () => {
  const { reporter } = start();
  const count = () =>
    Array.from({ length: 100 }, () => reporter.findReport(group, "primary", false)).filter(
      (report) => report !== undefined,
    ).length;
  expect(count()).toBe(2);
  fixture.clock.time += 49;
  expect(count()).toBe(0);
  fixture.clock.time += 1;
  expect(count()).toBe(2);
});

// Guards against a wait estimate for each of hundreds of connections.
test("connections share figures, whose age is reported", () => {
  const { source } = start();
  const reporters = Array.from({ length: 3 }, () => new LoadReporter(source));
  const ages = reporters.map((reporter) => {
    const report = reporter.findReport(group, "primary", false);
    fixture.clock.time += 12;
    return [report?.role, report?.ageMs];
  });
  expect(ages).toEqual([0, 12, 24].map((age) => [GatewayRole.PRIMARY, age]));
});

test("the figures of a refusal are at most 5 ms old", () => {
  const { source } = start();
  new LoadReporter(source).findReport(group, "primary", false);
  fixture.clock.time += 6;
  expect(new LoadReporter(source).findReport(group, "primary", true)?.ageMs).toBe(0);
});

// Guards against a node that sends statements to a gateway which has no connections for them any more.
test("a gateway that holds no connections, or refuses statements, reports nothing", () => {
  const { reporter } = start();
  refusal = "this node is leaving";
  expect(reporter.findReport(group, "primary", true)).toBeUndefined();
  refusal = undefined;
  expect(reporter.findReport(group, "primary", true)).toBeDefined();
  fixture.setShareRule({ type: "none" });
  expect(reporter.findReport(group, "primary", true)).toBeUndefined();
  expect(reporter.findReport("unknown", "primary", true)).toBeUndefined();
});

// Guards against a primary's figures that outlive it.
test("nothing is reported of a primary that is being changed", () => {
  const { reporter } = start();
  fixture.primary = { type: "changing", readyInMs: 100, reason: "lost" };
  expect(reporter.findReport(group, "primary", true)).toBeUndefined();
});

// Guards against reads that all move to a gateway which can't read any replica, as it reports no wait.
test("nothing is reported of replicas while none can be read", () => {
  const { reporter } = start();
  expect(reporter.findReport(group, "replica", true)).toBeDefined();
  fixture.clock.time += 100;
  fixture.groups.find(group)?.noteLagging("q");
  expect(reporter.findReport(group, "replica", true)).toBeUndefined();
});

// Guards against a cost of each report that grows with the number of databases.
test("reports list the databases once for a configuration", () => {
  const { source } = start();
  const { ports } = fixture;
  let listed = 0;
  const makeConfig = () => {
    const config = ports.getServingConfig();
    const databases = new Map(config.databases);
    const list = databases.values.bind(databases);
    databases.values = () => {
      listed += 1;
      return list();
    };
    return { ...config, databases };
  };
  for (const config of [makeConfig(), makeConfig()]) {
    Object.assign(ports, { getServingConfig: () => config });
    for (let i = 0; i < 20; i += 1) {
      expect(new LoadReporter(source).findReport(group, "primary", true)).toBeDefined();
      fixture.clock.time += 6;
    }
  }
  expect(listed).toBe(2);
});

test("nothing is reported where slots are not planned", () => {
  const { reporter } = start({ isSlotPlanned: false });
  expect(reporter.findReport(group, "primary", true)).toBeUndefined();
});
