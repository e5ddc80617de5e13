import {
  applyConnections,
  createPool,
  listConnections,
  type ConnectionEffect,
  type ConnectionEvent,
  type ConnectionSettings,
  type Pool,
} from "../controller/connections/index.js";
import type { Clock, Disposable, NotRunReason } from "../model/index.js";
import { Ticker } from "./ticker.js";
import { Waiters } from "./waiters.js";

/** Between two notes of progress on one connection, at the least, in milliseconds. */
const progressMs = 50;
const refusedRetryMs = 100;

/** What a pool needs of a connection. */
export interface PooledSession {
  /** False once it was closed or broke. */
  readonly isUsable: boolean;
  close(): void;
}

/** How a pool reaches its target. */
export interface PoolPorts<S extends PooledSession> {
  /**
   * Opens a connection for a team, or for all where its name is empty. Rejects when none could be opened
   * in time.
   */
  open(timeoutMs: number, team: string): Promise<S>;
  /** An empty exchange: a connection that something between the ends has forgotten stays silent. */
  check(session: S, signal: AbortSignal): Promise<boolean>;
  /** Whether the target refused a connection because it has too many. */
  isTooMany(error: unknown): boolean;
}

/** What a pool may be told besides. */
export interface TargetPoolOptions {
  readonly settings: Partial<ConnectionSettings> & Pick<ConnectionSettings, "limit">;
  /** Between two looks at the connections, in milliseconds. */
  readonly tickMs?: number;
}

/** What came of asking for a connection. */
export type ConnectionTaken<S extends PooledSession> =
  | { readonly type: "granted"; readonly connection: HeldConnection<S> }
  | { readonly type: "refused"; readonly reason: NotRunReason; readonly retryAfterMs: number };

/** A connection held by one request or transaction. */
export interface HeldConnection<S extends PooledSession> {
  readonly session: S;
  /** Notes that bytes of an answer came, so that the connection does not count as silent. */
  noteProgress(): void;
  /** Back to the pool: its last exchange ended idle and nothing is in flight. */
  giveBack(): void;
  /** Closes it: an answer that is still on its way must reach nobody. */
  drop(): void;
}

/** The connections of this process to one target: the pure controller with its sockets. */
export class TargetPool<S extends PooledSession> implements Disposable {
  private pool: Pool;
  private readonly sessions = new Map<string, S>();
  private readonly waiters = new Waiters<ConnectionTaken<S>>();
  private readonly ended = new AbortController();
  private readonly ticker: Ticker;
  private nextWaiter = 1;

  constructor(
    private readonly ports: PoolPorts<S>,
    private readonly clock: Clock,
    { settings, tickMs }: TargetPoolOptions,
  ) {
    this.pool = createPool(settings);
    this.ticker = new Ticker(() => {
      this.apply({ type: "tick", at: this.clock.now() });
    }, tickMs);
  }

  /** Waits for a connection until `deadlineAt`; with a team's name for one that serves this team alone. */
  take(deadlineAt: number, signal: AbortSignal, team = ""): Promise<ConnectionTaken<S>> {
    const waiter = `w${this.nextWaiter}`;
    this.nextWaiter += 1;
    const ask = () => {
      this.apply({ type: "ask", at: this.clock.now(), waiter, team, deadlineAt });
    };
    const giveUp = () => {
      this.refuse(waiter, "deadline");
      this.apply({ type: "giveUp", at: this.clock.now(), waiter });
    };
    return this.waiters.wait(waiter, signal, ask, giveUp);
  }

  /** Follows a change of this process's part of the target's connections. */
  resize(limit: number, largestShare: number): void {
    this.apply({ type: "resize", at: this.clock.now(), limit, maxShare: largestShare });
  }

  /** Notes that the target turned work away because all its slots were taken. */
  noteFull(): void {
    this.apply({ type: "full", at: this.clock.now() });
  }

  /** Stops giving out connections; those in use are closed as they come back. */
  drain(): void {
    this.apply({ type: "drain", at: this.clock.now() });
  }

  /** Whether a connection that serves a team is free. */
  hasIdle(team: string): boolean {
    return listConnections(this.pool, "idle").some((connection) => connection.team === team);
  }

  /** The connections by state, for metrics. */
  countByState(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { type } of Object.values(this.pool.connections)) {
      counts.set(type, (counts.get(type) ?? 0) + 1);
    }
    return counts;
  }

  dispose(): void {
    this.ended.abort();
    this.ticker.dispose();
    for (const waiter of this.waiters.listIds()) this.refuse(waiter, "draining");
    for (const session of this.sessions.values()) session.close();
    this.sessions.clear();
  }

  private apply(event: ConnectionEvent): void {
    if (this.ended.signal.aborted) return;
    const applied = applyConnections(this.pool, event);
    if (applied.type === "failed") return;
    this.pool = applied.state;
    for (const effect of applied.effects) this.execute(effect);
    this.ticker.setNeeded(!this.isQuiet());
  }

  private execute(effect: ConnectionEffect): void {
    switch (effect.type) {
      case "open":
        void this.open(effect.connection, effect.team);
        break;
      case "close":
        this.close(effect.connection);
        break;
      case "check":
        void this.check(effect.connection);
        break;
      case "grant":
        this.grant(effect.waiter, effect.connection);
        break;
      case "lose":
        this.close(effect.connection);
        break;
      case "refuse":
        this.refuse(effect.waiter, effect.reason, effect.retryAfterMs);
        break;
    }
  }

  private async open(connection: string, team: string): Promise<void> {
    const timeoutMs = this.pool.settings.openTimeoutMs;
    try {
      const session = await this.ports.open(timeoutMs, team);
      if (this.ended.signal.aborted || this.pool.connections[connection]?.type !== "opening") {
        session.close();
        this.apply({ type: "gone", at: this.clock.now(), connection });
        return;
      }
      this.sessions.set(connection, session);
      this.apply({ type: "opened", at: this.clock.now(), connection });
    } catch (error) {
      const reason = this.ports.isTooMany(error) ? "tooMany" : "failed";
      this.apply({ type: "openFailed", at: this.clock.now(), connection, reason });
    }
  }

  private close(connection: string): void {
    this.sessions.get(connection)?.close();
    this.sessions.delete(connection);
  }

  private async check(connection: string): Promise<void> {
    const session = this.sessions.get(connection);
    const signal = AbortSignal.timeout(this.pool.settings.checkTimeoutMs);
    const isAlive = session !== undefined && (await this.ports.check(session, signal));
    this.apply({ type: "checked", at: this.clock.now(), connection, isAlive });
    if (!isAlive) this.close(connection);
  }

  private grant(waiter: string, connection: string): void {
    const session = this.sessions.get(connection);
    if (session?.isUsable !== true) {
      this.apply({ type: "broken", at: this.clock.now(), connection });
      this.refuse(waiter, "noConnection");
      return;
    }
    const held = this.createHeld(waiter, connection, session);
    if (!this.waiters.settle(waiter, { type: "granted", connection: held })) held.drop();
  }

  private createHeld(waiter: string, connection: string, session: S): HeldConnection<S> {
    let lastNotedAt = -Infinity;
    let isHeld = true;
    return {
      session,
      noteProgress: () => {
        const at = this.clock.now();
        if (!isHeld || at - lastNotedAt < progressMs) return;
        lastNotedAt = at;
        this.apply({ type: "progress", at, connection });
      },
      giveBack: () => {
        if (!isHeld) return;
        isHeld = false;
        const at = this.clock.now();
        if (session.isUsable)
          this.apply({ type: "ready", at, connection, status: "I", inFlight: 0 });
        else this.drop(waiter, connection, session);
      },
      drop: () => {
        if (!isHeld) return;
        isHeld = false;
        this.drop(waiter, connection, session);
      },
    };
  }

  private drop(waiter: string, connection: string, session: S): void {
    session.close();
    this.sessions.delete(connection);
    this.apply({ type: "giveUp", at: this.clock.now(), waiter });
  }

  private refuse(waiter: string, reason: NotRunReason, retryAfterMs = refusedRetryMs): void {
    this.waiters.settle(waiter, { type: "refused", reason, retryAfterMs });
  }

  private isQuiet(): boolean {
    return Object.keys(this.pool.connections).length === 0 && this.waiters.size === 0;
  }
}
