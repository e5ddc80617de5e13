import { createServer, type Server } from "node:net";
import { create } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import { afterEach, expect, test } from "@jest/globals";
import { GatewayConnections, PositionWatch } from "../../src/gateway/index.js";
import { decodePositions, encodePositions } from "../../src/gateway/position-codec.js";
import type { Proxy } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import {
  GatewayPositionsSchema,
  GatewayResponseSchema,
} from "../../src/peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { findAddress, waitUntil } from "../node/cluster.js";
import { group } from "../direct/fixture.js";
import { learnMark, mark, RedirectFleet } from "./redirect-fleet.js";
import { makeProxy } from "./builders.js";

let fleet: RedirectFleet;
let connections: GatewayConnections;
let server: Server | undefined;

afterEach(async () => {
  connections.dispose();
  server?.close();
  server = undefined;
  await fleet.dispose();
});

/** The near gateway asks `gateway`, the one of the primary unless given. */
async function start(gateway?: Proxy) {
  fleet = await RedirectFleet.start();
  const { clock } = fleet.near.stage;
  connections = new GatewayConnections({ clock, logger: silentLogger });
  const proxy = gateway ?? fleet.proxies.find(({ vm }) => vm === fleet.home.vm);
  // A group learns with its next update that slots are planned.
  fleet.home.stage.setShareRule(fleet.home.stage.shareRule);
  const near = fleet.near.stage.groups.find(group);
  if (near === undefined) throw new Error("no group");
  const watch = new PositionWatch({
    connections,
    getRouter: () => ({ findPrimaryGateway: () => proxy }),
    listGroups: () => [group],
    getGroups: () => fleet.near.stage.groups,
    logger: silentLogger,
  });
  return { watch, near };
}

const rest = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

test("a gateway learns positions from the primary's gateway while reads require them", async () => {
  const { watch, near } = await start();
  learnMark(fleet.home.stage);
  near.positions.noteRequired();
  watch.check();
  await waitUntil(() => near.findMarkSince(0) !== undefined);
  expect(near.findMarkSince(0)).toEqual(mark);
});

// Guards against messages that no read needs, and against any where the configuration does not call for them.
test("nothing is asked while no read requires a position, or where slots are not planned", async () => {
  const { watch, near } = await start();
  learnMark(fleet.home.stage);
  watch.check();
  near.positions.noteRequired();
  fleet.near.stage.isSlotPlanned = false;
  near.update({ name: group, connections: 1, targets: [] });
  watch.check();
  await rest(50);
  expect(near.findMarkSince(0)).toBeUndefined();
});

// Guards against a gateway of an earlier build that is asked for positions again and again.
test("a gateway that does not answer is not asked again on its connection", async () => {
  const address = await findAddress();
  let received = 0;
  server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", ({ length }) => (received += length));
    const greeting = create(GatewayResponseSchema, {
      outcome: { case: "pong", value: true },
      grantsTokens: true,
    });
    socket.write(sizeDelimitedEncode(GatewayResponseSchema, greeting));
  });
  await new Promise<void>((resolve) => server?.listen({ ...address }, resolve));
  const { watch, near } = await start({ ...makeProxy(1, "b"), gateway: address });
  near.positions.noteRequired();
  watch.check();
  await waitUntil(() => received > 0);
  const connection = connections.open({ ...makeProxy(1, "b"), gateway: address });
  await waitUntil(async () => {
    const before = received;
    await connection?.requestPositions(group, 50);
    return received === before;
  });
  const asked = received;
  watch.check();
  await rest(50);
  expect(received).toBe(asked);
  expect(connection?.isOpen).toBe(true);
});

// Guards against a gateway that is never asked since its greeting came shortly before the end of the first request.
test("a request that waited for the greeting does not show that a gateway does not answer", async () => {
  const address = await findAddress();
  let received = 0;
  let greet: (() => void) | undefined;
  server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", ({ length }) => (received += length));
    const greeting = create(GatewayResponseSchema, { outcome: { case: "pong", value: true } });
    greet = () => socket.write(sizeDelimitedEncode(GatewayResponseSchema, greeting));
  });
  await new Promise<void>((resolve) => server?.listen({ ...address }, resolve));
  await start();
  const connection = connections.open({ ...makeProxy(1, "b"), gateway: address });
  const first = connection?.requestPositions(group, 300);
  await waitUntil(() => greet !== undefined);
  greet?.();
  await first;
  expect(received).toBeGreaterThan(0);
  const before = received;
  await connection?.requestPositions(group, 50);
  expect(received).toBeGreaterThan(before);
});

// Guards against reads that fail, or wait, since the gateway with the positions is gone.
test("when the gateway is lost halfway, known positions stay and nothing else is known", async () => {
  const { watch, near } = await start();
  learnMark(fleet.home.stage);
  near.positions.noteRequired();
  watch.check();
  await waitUntil(() => near.findMarkSince(0) !== undefined);
  fleet.home.server.dispose();
  watch.check();
  await rest(50);
  expect(near.findMarkSince(0)).toEqual(mark);
});

// Guards against a position that is not a number: it compares as neither older nor newer, and would extend the time
// for which an old one counts as the end of the log.
test("an invalid position is left out, and the others stay", () => {
  const valid = { target: "q", mark: { round: 1, vm: "p", offset: 4 }, ageMs: 20 };
  for (const offset of [NaN, -1, 0.5, Infinity]) {
    const { positions, invalid } = decodePositions(
      create(GatewayPositionsSchema, {
        primary: { target: "p", mark: { round: 1, vm: "p", offset } },
        replicas: [valid, { target: "r" }],
      }),
    );
    expect(positions.primary).toBeUndefined();
    expect(positions.replicas.map(({ target }) => target)).toEqual(["q"]);
    expect(invalid).toBe(`p: ${offset}@1`);
  }
});

// Guards against a position that appears younger by the rounding of its age.
test("ages are rounded up", () => {
  const encoded = encodePositions({
    primary: { target: "p", mark, ageMs: 12.01 },
    replicas: [{ target: "q", mark, ageMs: -3 }],
  });
  const { positions, invalid } = decodePositions(create(GatewayPositionsSchema, encoded));
  expect(invalid).toBeUndefined();
  expect(positions.primary).toEqual({ target: "p", mark, ageMs: 13 });
  expect(positions.replicas).toEqual([{ target: "q", mark, ageMs: 0 }]);
});
