import { expect, test } from "@jest/globals";
import { silentLogger } from "../../src/log/index.js";
import type { Outcome, Request, TargetSession } from "../../src/model/index.js";
import { HeldAnswer } from "../../src/owner/answer.js";
import {
  LatestPlacement,
  type PlacedConnection,
  type ServeContext,
} from "../../src/owner/context.js";
import { createConfirmFilter } from "../../src/owner/filters/confirm.js";
import { createConnectFilter } from "../../src/owner/filters/connect.js";
import { serveAction } from "./group.js";

const target = {
  name: "t1",
  dataCentre: "palermo",
  address: { host: "127.0.0.1", port: 1 },
  slots: 2,
  connections: 16,
};

const session: TargetSession = {
  target: target.name,
  isUsable: true,
  exchange: () => Promise.resolve({ type: "ready", status: "I" }),
  close: () => undefined,
};

const answered: Outcome = {
  type: "answered",
  status: "I",
  servedBy: { target: "t1", role: "replica" },
};

const committed = Buffer.from("C\0\0\0\x0fINSERT 0 1\0", "latin1");

function makeContext(forwarded: Uint8Array[]): ServeContext {
  const traits = {
    group: "libro",
    team: "ferrante",
    plan: "paying",
    kind: "write",
    effect: "write",
    tables: [],
    transaction: false,
  } as const;
  const request: Request = {
    id: "r1",
    traits,
    rule: "test",
    action: serveAction,
    deadlineAt: 5000,
  };
  return {
    request,
    messages: new Uint8Array(),
    answer: new HeldAnswer((message) => void forwarded.push(message), "outcome"),
    signal: new AbortController().signal,
    attempt: 1,
    timeLeftMs: () => 5000,
    placement: new LatestPlacement(),
    slotTarget: "t1",
  };
}

// A write has its slot at the primary and waits for a connection, since the primary is frozen. Meanwhile the
// group fails over. The old primary resumes, not fenced yet, and the connection opens. It would commit a
// write that its successor's log lacks, so the caller is refused and nothing is sent.
test("a write whose primary changed while it waited for a connection is not sent", async () => {
  let releasedCount = 0;
  const connection = {
    session,
    noteProgress: () => undefined,
    release: () => void (releasedCount += 1),
    drop: () => undefined,
  };
  const connect = createConnectFilter(
    {
      acquireConnection: () => Promise.resolve({ type: "granted", connection }),
      describeTarget: () => ({ target, role: "replica", term: undefined }),
      reportConnectionFailure: () => undefined,
    },
    () => undefined,
  );
  let runs = 0;
  const outcome = await connect.apply(makeContext([]), () => {
    runs += 1;
    return Promise.resolve(answered);
  });
  expect(outcome).toMatchObject({
    type: "failed",
    verdict: { type: "notRun", reason: "superseded" },
  });
  expect({ runs, releasedCount }).toEqual({ runs: 0, releasedCount: 1 });
});

// A write was sent and committed by a target that the owner considers a replica. No term confirms it, so it
// must not be reported as a success, but as one that may have run.
test("a write that a superseded primary committed is not acknowledged", async () => {
  const forwarded: Uint8Array[] = [];
  const context = makeContext(forwarded);
  const placed: PlacedConnection = { target, role: "replica", term: undefined, session };
  const confirmer = {
    confirm: () => Promise.resolve({ type: "unconfirmed", reason: "no term" } as const),
  };
  const confirm = createConfirmFilter(confirmer, silentLogger);
  const outcome = await confirm.apply(context, async (inner) => {
    inner.placement.record(placed);
    await inner.answer.receive(committed);
    return answered;
  });
  expect(outcome).toMatchObject({ type: "failed", verdict: { type: "mayHaveRun" } });
  expect(forwarded).toEqual([]);
});

// A superseded primary answers a prepared write with ParseComplete, BindComplete and its refusal. None of
// them may reach the caller yet. The outcome is that the write has not run, instead of the target's bare
// error, so that the owner can retry it at the new primary.
test("a prepared write that a superseded primary refuses has not run", async () => {
  const forwarded: Uint8Array[] = [];
  const context = makeContext(forwarded);
  const confirmer = {
    confirm: () => Promise.resolve({ type: "unconfirmed", reason: "no term" } as const),
  };
  const confirm = createConfirmFilter(confirmer, silentLogger);
  const outcome = await confirm.apply(context, async (inner) => {
    inner.placement.record({ target, role: "primary", term: undefined, session });
    for (const text of ["1\0\0\0\x04", "2\0\0\0\x04", "E\0\0\0\x0cC25006\0\0"]) {
      await inner.answer.receive(Buffer.from(text, "latin1"));
    }
    return answered;
  });
  expect(outcome).toMatchObject({ verdict: { type: "notRun", reason: "superseded" } });
  expect(forwarded).toEqual([]);
});

test("rows and the messages before them are forwarded in order", async () => {
  const forwarded: Uint8Array[] = [];
  const answer = new HeldAnswer((message) => void forwarded.push(message), "outcome");
  for (const type of ["1", "2", "T", "D", "D"]) {
    await answer.receive(Buffer.from(`${type}\0\0\0\x04`, "latin1"));
  }
  expect(forwarded.map(([type]) => String.fromCharCode(type ?? 0)).join("")).toBe("12TDD");
});
