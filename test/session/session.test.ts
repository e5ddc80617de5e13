import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { type Mark, compareMarkOrder } from "../../src/model/index.js";
import {
  applyStep,
  createSession,
  getTokenContent,
  type Session,
  type SessionStep,
  signToken,
  verifyToken,
} from "../../src/session/index.js";

const team = { name: "acme", plan: "paying" } as const;
const keys = [Buffer.from("new key"), Buffer.from("old key")];
const mark = (round: number, offset: number): Mark => ({ term: { round, vm: "a" }, offset });

function apply(session: Session, ...steps: readonly SessionStep[]): Session {
  return steps.reduce((state, step) => {
    const result = applyStep(state, step, { maxStatements: 2, maxStatementBytes: 100 });
    if (result.type === "failed") throw new Error(result.failure);
    return result.state;
  }, session);
}

const start = createSession(team, "g");
const statement = { statement: "select 1", tags: new Map<string, string>(), message: Buffer.of(1) };
const prepare = (name: string): SessionStep => ({ type: "prepare", name, statement });

test("a session's marks never decrease, in whatever order they are seen", () => {
  const marks = fc.array(fc.tuple(fc.nat({ max: 3 }), fc.nat({ max: 9 })), { minLength: 1 });
  fc.assert(
    fc.property(marks, (list) => {
      const seen = list.map(([round, offset]) => mark(round, offset));
      const session = apply(
        start,
        ...seen.map((m) => ({ type: "see", group: "g", mark: m }) as const),
      );
      expect(session.marks.get("g")).toEqual([...seen].sort(compareMarkOrder).at(-1));
    }),
    { seed: 3 },
  );
});

test("a new token is sent only after a mark has increased", () => {
  const step = { type: "see", group: "g", mark: mark(1, 1) } as const;
  expect(applyStep(start, step)).toMatchObject({ effects: [{ type: "sendToken" }] });
  expect(applyStep(apply(start, step), step)).toMatchObject({ effects: [] });
});

test("a token carries the marks to another proxy, also when signed with the previous key", () => {
  const session = apply(start, { type: "see", group: "g", mark: mark(2, 7) });
  const text = signToken(getTokenContent(session), keys.slice(1));
  expect(verifyToken(text, keys)).toEqual({ type: "verified", token: getTokenContent(session) });
  expect(verifyToken(text, keys.slice(0, 1))).toEqual({ type: "rejected", reason: "signature" });
});

test("a modified token is rejected", () => {
  const text = signToken(
    getTokenContent(apply(start, { type: "see", group: "g", mark: mark(2, 7) })),
    keys,
  );
  const change = fc.tuple(fc.nat({ max: text.length - 1 }), fc.base64String({ minLength: 4 }));
  fc.assert(
    fc.property(change, fc.string(), ([at, patch], other) => {
      const changed = text.slice(0, at) + patch.replaceAll(/[+/=]/g, "-") + text.slice(at + 4);
      if (changed !== text) expect(verifyToken(changed, keys).type).toBe("rejected");
      expect(verifyToken(other, keys).type).toBe("rejected");
    }),
    { seed: 5 },
  );
});

// A session has used more groups than a token may list and moves to another proxy.
// The token leaves out the groups used longest ago and must be marked incomplete. Otherwise the other
// proxy would serve reads of these groups from any replica, and the caller would miss its own writes.
test("a full token is marked incomplete", () => {
  const groups = Array.from({ length: 40 }, (_, i) => `group-${i}`);
  const session = apply(
    start,
    ...groups.map((group) => ({ type: "see", group, mark: mark(1, 1) }) as const),
  );
  const check = verifyToken(signToken(getTokenContent(session), keys), keys);
  if (check.type !== "verified") throw new Error(check.reason);
  expect([...check.token.marks.keys()]).toEqual(groups.slice(-32));
  expect(check.token.isComplete).toBe(false);
  expect(apply(start, { type: "join", token: check.token }).isComplete).toBe(false);
});

test("a token of another team is rejected", () => {
  const token = { team: "other", marks: new Map(), isComplete: true };
  expect(applyStep(start, { type: "join", token })).toEqual({
    type: "failed",
    failure: "otherTeam",
  });
});

test("prepared statements are limited, and closing one frees its share of the limit", () => {
  const full = apply(start, prepare("a"), prepare("b"));
  expect(applyStep(full, prepare("a"))).toMatchObject({ failure: "statementExists" });
  expect(() => apply(full, prepare("c"))).toThrow("statementsFull");
  const closed = apply(full, { type: "closeStatement", name: "a" }, prepare("c"));
  expect([...closed.statements.keys()]).toEqual(["b", "c"]);
  expect(apply(closed, { type: "closeStatements" }).statementBytes).toBe(0);
});
