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

function makeContext(passed: Uint8Array[]): ServeContext {
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
    answer: new HeldAnswer((message) => void passed.push(message), "outcome"),
    signal: new AbortController().signal,
    attempt: 1,
    timeLeftMs: () => 5000,
    placement: new LatestPlacement(),
    slotTarget: "t1",
  };
}

// A write has its slot at the primary and waits for a connection, since the primary is frozen.
// The group fails over meanwhile; the old primary comes back, not fenced yet, and the connection is
// there. It would commit what its successor's log lacks; the caller is refused, and nothing is sent.
test("a write whose primary changed while it waited for a connection is not sent", async () => {
  let given = 0;
  const connection = {
    session,
    noteProgress: () => undefined,
    release: () => void (given += 1),
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
  expect({ runs, given }).toEqual({ runs: 0, given: 1 });
});

// The same write was sent all the same and committed by a target that the owner takes for a replica.
// No term vouches for it, so the caller must not hear of success: it may have run.
test("a write that a superseded primary committed is not acknowledged", async () => {
  const passed: Uint8Array[] = [];
  const context = makeContext(passed);
  const place: PlacedConnection = { target, role: "replica", term: undefined, session };
  const confirmer = {
    confirm: () => Promise.resolve({ type: "unconfirmed", reason: "no term" } as const),
  };
  const confirm = createConfirmFilter(confirmer, silentLogger);
  const outcome = await confirm.apply(context, async (inner) => {
    inner.placement.record(place);
    await inner.answer.receive(committed);
    return answered;
  });
  expect(outcome).toMatchObject({ type: "failed", verdict: { type: "mayHaveRun" } });
  expect(passed).toEqual([]);
});

// A prepared write meets a superseded primary: ParseComplete and BindComplete come, then its refusal.
// Nothing of that concerns the caller yet. It hears that the write has not run, so that the owner's
// next try may run it at the new primary, and not the target's bare error.
test("a prepared write that a superseded primary refuses has not run", async () => {
  const passed: Uint8Array[] = [];
  const context = makeContext(passed);
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
  expect(passed).toEqual([]);
});

test("rows pass after what comes before them, in order", async () => {
  const passed: Uint8Array[] = [];
  const answer = new HeldAnswer((message) => void passed.push(message), "outcome");
  for (const type of ["1", "2", "T", "D", "D"]) {
    await answer.receive(Buffer.from(`${type}\0\0\0\x04`, "latin1"));
  }
  expect(passed.map(([type]) => String.fromCharCode(type ?? 0)).join("")).toBe("12TDD");
});
