import {
  applyConnections,
  createPool,
  type ConnectionEffect,
  type ConnectionEvent,
  type ConnectionSettings,
  type Pool,
} from "../../src/controller/connections/index.js";

type Untimed<T> = T extends unknown ? Omit<T, "at"> : never;

/** Applies events to a connection pool, with a clock that is set by hand. */
export class PoolHarness {
  pool: Pool;
  at = 0;

  constructor(settings: Partial<ConnectionSettings> = {}) {
    this.pool = createPool({ limit: 16, ...settings });
  }

  apply(event: Untimed<ConnectionEvent>): readonly ConnectionEffect[] {
    const result = applyConnections(this.pool, { ...event, at: this.at });
    if (result.type === "failed") throw new Error(result.failure);
    this.pool = result.state;
    return result.effects;
  }

  ask(waiter: string, deadlineAt = 1e9) {
    return this.apply({ type: "ask", waiter, deadlineAt });
  }

  ready(connection: string, status: "I" | "T" | "E" = "I", inFlight = 0) {
    return this.apply({ type: "ready", connection, status, inFlight });
  }

  tick(at: number) {
    this.at = at;
    return this.apply({ type: "tick" });
  }

  /** Requests and opens `count` connections. They are held by the waiters `w1`, `w2`, … */
  hold(count: number) {
    for (let i = 1; i <= count; i++) {
      this.ask(`w${i}`);
      this.apply({ type: "opened", connection: String(i) });
    }
  }

  state(connection: string): string {
    return this.pool.connections[connection]?.type ?? "gone";
  }
}
