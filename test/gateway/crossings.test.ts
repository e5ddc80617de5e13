import { expect, test } from "@jest/globals";
import type { SessionContext } from "../../src/direct/index.js";
import type { GatewayConnection } from "../../src/gateway/connection.js";
import { GatewayConnections } from "../../src/gateway/connections.js";
import { countRemainingMs, forwardStep } from "../../src/gateway/forward.js";
import { silentLogger } from "../../src/log/index.js";
import { singleRegion, Topology, type CrossingKind } from "../../src/topology/index.js";
import { FakeClock } from "../fleet/fakes.js";
import { makeProxy } from "./builders.js";

const topology = new Topology(
  new Map([
    ["a", "east"],
    ["b", "east"],
    ["c", "west"],
  ]),
);

/** Forwards one step from data centre `a` to a gateway, and lists the crossings that were counted. */
async function forward(dataCentre: string, kind: CrossingKind, known = topology) {
  const crossings: CrossingKind[] = [];
  const connections = new GatewayConnections({ clock: new FakeClock(), logger: silentLogger });
  const gateway = makeProxy(0, dataCentre);
  connections.open(gateway);
  const connection = {
    call: () => Promise.resolve({ type: "broken", isSent: true, reason: "x" } as const),
  } as unknown as GatewayConnection;
  const context = {
    ports: {
      topology: known,
      dataCentre: "a",
      onCrossing: (seen: CrossingKind) => crossings.push(seen),
    },
    trace: { noteReason: () => undefined },
    disconnectSignal: new AbortController().signal,
  } as unknown as SessionContext;
  const step = { case: "rollback", value: 1 } as const;
  await forwardStep(connections, connection, gateway.vm, context, step, 100, kind);
  connections.dispose();
  return crossings;
}

test("a statement that is forwarded to a gateway of another region is counted by its kind", async () => {
  expect(await forward("c", "read")).toEqual(["read"]);
  expect(await forward("c", "transaction")).toEqual(["transaction"]);
  expect(await forward("a", "read")).toEqual([]);
  expect(await forward("b", "write")).toEqual([]);
});

// A gateway that refuses at its deadline is answered for when the caller has already given up.
test("a gateway of another region is given the time that the way leaves", () => {
  const clock = new FakeClock();
  const makeContext = (known: Topology) =>
    ({ ports: { topology: known, dataCentre: "a", clock } }) as unknown as SessionContext;
  const count = (dataCentre: string, known = topology) =>
    countRemainingMs(makeContext(known), 800, dataCentre);
  expect([count("a"), count("b"), count("c")]).toEqual([795, 795, 735]);
  expect(count("c", singleRegion)).toBe(795);
});

test("without regions no forwarded statement counts as crossing", async () => {
  expect(await forward("c", "write", singleRegion)).toEqual([]);
});
