import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  applyConnections,
  countAgainstLimit,
  createPool,
  type ConnectionEffect,
  type ConnectionEvent,
  type Pool,
} from "../../src/controller/connections/index.js";

const kinds = [
  "ask",
  "giveUp",
  "opened",
  "openFailed",
  "progress",
  "ready",
  "broken",
  "checked",
  "gone",
  "countOthers",
  "tick",
] as const;
const steps = fc.array(
  fc.record({ kind: fc.constantFrom(...kinds, "ask", "opened", "ready"), pick: fc.nat(999) }),
  { minLength: 30, maxLength: 150, size: "max" },
);

function toEvent(kind: (typeof kinds)[number], pick: number, at: number, pool: Pool) {
  const ids = Object.keys(pool.connections);
  const connection = ids[pick % Math.max(1, ids.length)] ?? "none";
  const waiter = `w${pick % 12}`;
  const events: Record<typeof kind, ConnectionEvent> = {
    ask: { type: "ask", at, waiter, deadlineAt: at + pick },
    giveUp: { type: "giveUp", at, waiter },
    opened: { type: "opened", at, connection },
    openFailed: { type: "openFailed", at, connection, reason: pick % 2 ? "tooMany" : "failed" },
    progress: { type: "progress", at, connection },
    ready: { type: "ready", at, connection, status: pick % 3 ? "I" : "T", inFlight: pick % 2 },
    broken: { type: "broken", at, connection },
    checked: { type: "checked", at, connection, isAlive: pick % 3 > 0 },
    gone: { type: "gone", at, connection },
    countOthers: { type: "countOthers", at, others: pick % 14 },
    tick: { type: "tick", at },
  };
  return events[kind];
}

/** Tracks which waiter holds which connection, from the effects and events alone. */
class HolderModel {
  readonly byConnection = new Map<string, string>();
  readonly dead = new Set<string>();
  readonly asking = new Set<string>();

  note(effect: ConnectionEffect) {
    switch (effect.type) {
      case "grant":
        expect(this.byConnection.has(effect.connection)).toBe(false);
        expect(this.dead.has(effect.connection)).toBe(false);
        expect(this.asking.delete(effect.waiter)).toBe(true);
        this.byConnection.set(effect.connection, effect.waiter);
        return;
      case "close":
        this.dead.add(effect.connection);
        this.byConnection.delete(effect.connection);
        return;
      case "lose":
        this.byConnection.delete(effect.connection);
        return;
      case "refuse":
        expect(this.asking.delete(effect.waiter)).toBe(true);
        return;
      case "check":
        expect(this.byConnection.has(effect.connection)).toBe(false);
        return;
      case "open":
        return;
    }
  }
}

test("random events keep one holder for each connection, and the limit", () => {
  fc.assert(
    fc.property(steps, (sequence) => {
      const holders = new HolderModel();
      let pool = createPool({ limit: 8, maxShare: 5, growIntervalMs: 20, minIdle: 2 });
      sequence.forEach(({ kind, pick }, i) => {
        const event = toEvent(kind, pick, i * 40, pool);
        const result = applyConnections(pool, event);
        if (result.type === "failed") return;
        if (event.type === "ask") holders.asking.add(event.waiter);
        if (event.type === "giveUp") holders.asking.delete(event.waiter);
        const isFree = event.type === "ready" && event.status === "I" && event.inFlight === 0;
        if (isFree) holders.byConnection.delete(event.connection);
        result.effects.forEach((e) => holders.note(e));
        pool = result.state;
        const active = Object.values(pool.connections).flatMap((c) =>
          c.type === "active" ? [[c.id, c.waiter]] : [],
        );
        expect(active).toEqual([...holders.byConnection].sort(([a], [b]) => Number(a) - Number(b)));
        expect(countAgainstLimit(pool)).toBeLessThanOrEqual(5);
        expect(pool.waiters.map((w) => w.id).sort()).toEqual([...holders.asking].sort());
      });
    }),
    { seed: 7, numRuns: 500 },
  );
});
