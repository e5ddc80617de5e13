import { afterEach, expect, test } from "@jest/globals";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { StatementTrace, type SessionContext } from "../../src/direct/index.js";
import { decodeSession, encodeRun, noTransaction } from "../../src/gateway/codec.js";
import type { ServeAction } from "../../src/model/index.js";
import {
  GatewayRequestSchema,
  GatewayRoute,
  SessionPartSchema,
} from "../../src/peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { group, makeDatabase, ProxyFixture } from "../direct/fixture.js";
import { waitUntil } from "../node/cluster.js";
import { Hop, makeRead } from "./hop.js";

const plain = makeDatabase("levelled", { type: "primary" });
const withLevel = (action: Partial<ServeAction>) => ({
  ...plain,
  action: { ...plain.action, ...action },
});

let owned: { dispose(): Promise<void> } | undefined;

afterEach(async () => {
  await owned?.dispose();
});

/** Encodes a statement with so much time left, and decodes it as its gateway does. */
function transfer(action: Partial<ServeAction>, leftMs: number) {
  const fixture = new ProxyFixture();
  owned = fixture;
  const found = fixture.groups.find(group);
  if (found === undefined) throw new Error("the group is unknown");
  const context: SessionContext = {
    ports: fixture.ports,
    session: "s",
    database: withLevel(action),
    team: undefined,
    group: found,
    values: new Map(),
    lastCommit: undefined,
    disconnectSignal: new AbortController().signal,
    trace: new StatementTrace(),
    nextId: () => "1",
  };
  const work = { type: "access", id: "1", effect: "read", text: "READ cello" } as const;
  const step = encodeRun(context, work, leftMs, noTransaction);
  const bytes = toBinary(GatewayRequestSchema, create(GatewayRequestSchema, { call: 1, step }));
  const received = fromBinary(GatewayRequestSchema, bytes).step;
  const part = received.case === "run" ? received.value.session : undefined;
  return { part, action: decodeSession(part)?.database.action };
}

// Guards against an objective that begins anew at the gateway and hides the time spent on the way.
test("a gateway gets the level, and the time left of the objective since the statement's arrival", () => {
  const { part, action } = transfer({ level: 0, objectiveMs: 150 }, 740);
  expect(part).toMatchObject({ level: 0, objectiveMs: 90, leftMs: 740 });
  expect(action).toMatchObject({
    level: 0,
    objectiveMs: 90,
    deadlineMs: 740,
    priority: "critical",
  });
});

test("an objective that was missed on the way is sent as 0", () => {
  expect(transfer({ level: 3, objectiveMs: 150 }, 300).action).toMatchObject({
    level: 3,
    objectiveMs: 0,
  });
});

// Guards against a message of a deployment without levels that differs from that of an earlier build.
test("without a level the message has none, and the class decides", () => {
  const { part, action } = transfer({ priority: "normal" }, 740);
  expect(part?.level).toBeUndefined();
  expect(part?.objectiveMs).toBeUndefined();
  expect(action).not.toHaveProperty("level");
  expect(action).toMatchObject({ priority: "normal" });
});

// Guards against a statement without an objective that counts as late from its arrival on.
test("a message with a level and no objective counts its deadline as the objective", () => {
  const part = create(SessionPartSchema, {
    database: "d",
    group,
    route: GatewayRoute.PRIMARY,
    level: 4,
    leftMs: 500,
  });
  expect(decodeSession(part)?.database.action).toMatchObject({ level: 4, objectiveMs: 500 });
});

// Guards against a read of a level that is lost with the gateway in whose queue it waits.
test("a read that waits at a gateway which is lost is answered by the next", async () => {
  const hop = await Hop.start(2, { databases: [withLevel({ level: 2, objectiveMs: 400 })] });
  owned = hop;
  const { first, second } = await hop.findFirst();
  const queue = first.stage.groups.find(group);
  const slots = queue?.slots.countFree("p") ?? 0;
  const held = Array.from({ length: slots }, (_, i) => {
    return hop.open("primary").run(makeRead(`held${i}`));
  });
  await waitUntil(() => queue?.slots.countFree("p") === 0);
  const waiting = hop.open("levelled").run(makeRead("waiting"));
  await waitUntil(() => queue?.hasWaitersFor("p") === true);
  first.link.breakAll();
  first.link.setRefusing(true);
  const ids = new Set<string>();
  await waitUntil(() => {
    for (const { command, answer } of second.stage.list("p", "work")) {
      if (command.type === "work") ids.add(command.work.id);
      answer();
    }
    return ids.has("waiting");
  });
  expect((await waiting).end.type).toBe("complete");
  await Promise.all(held);
  const sentToFirst = first.stage.list("p", "work").map(({ command }) => command);
  expect(sentToFirst).not.toContainEqual(
    expect.objectContaining({ work: expect.objectContaining({ id: "waiting" }) }),
  );
});
