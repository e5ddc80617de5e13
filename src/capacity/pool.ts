import {
  applyConnections,
  countAgainstLimit,
  createPool,
  listConnections,
  listUnservedWaiters,
  type ConnectionEffect,
  type ConnectionEvent,
  type ConnectionSettings,
  type Pool,
} from "../controller/connections/index.js";
import type { Clock, Disposable, NotRunReason } from "../model/index.js";
import { Ticker } from "./ticker.js";
import { Waiters } from "./waiters.js";

/** The shortest time between two progress events of one connection, in milliseconds. */
const progressIntervalMs = 50;
const refusedRetryMs = 100;

/** The operations that a pool uses on a connection, whatever its protocol. */
export interface PooledSession {
  /** False once the connection was closed or broke. */
  readonly isUsable: boolean;
  close(): void;
}

/** How a pool reaches its target. */
export interface PoolPorts<S extends PooledSession> {
  /**
   * Opens a connection for one team, or for all teams if the name is empty. Rejects if it is not open
   * within `timeoutMs`.
   */
  open(timeoutMs: number, team: string): Promise<S>;
  /**
   * Runs an empty exchange and resolves to whether it was answered. A connection whose state was lost in
   * the network between the two ends never answers.
   */
  check(session: S, signal: AbortSignal): Promise<boolean>;
  /** Whether the target refused a connection because its connection limit is reached. */
  isTooManyConnections(error: unknown): boolean;
}

/** Options of a pool. Connection settings that are absent have their defaults. */
export interface TargetPoolOptions {
  readonly settings: Partial<ConnectionSettings> & Pick<ConnectionSettings, "limit">;
  /** The interval at which timeouts and limits are checked, in milliseconds. */
  readonly tickMs?: number;
}

/** The result of acquiring a connection. */
export type AcquireResult<S extends PooledSession> =
  | { readonly type: "granted"; readonly connection: HeldConnection<S> }
  | { readonly type: "refused"; readonly reason: NotRunReason; readonly retryAfterMs: number };

/** A connection that one request or transaction holds until it calls `release` or `drop`. */
export interface HeldConnection<S extends PooledSession> {
  readonly session: S;
  /** Records that bytes of an answer arrived, so that the connection does not count as silent. */
  noteProgress(): void;
  /** Returns the connection to the pool. Its last exchange has ended idle and nothing is in flight. */
  release(): void;
  /** Closes the connection, so that an answer that is still in flight reaches no other caller. */
  drop(): void;
}

/** This process's connections to one target. Binds the pure controller to sockets and a timer. */
export class TargetPool<S extends PooledSession> implements Disposable {
  private pool: Pool;
  private readonly sessions = new Map<string, S>();
  private readonly waiters = new Waiters<AcquireResult<S>>();
  private readonly disposal = new AbortController();
  private readonly ticker: Ticker;
  private nextWaiterNumber = 1;

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

  /**
   * Waits for a connection until `deadlineAt`. If a team is given, the connection serves only this
   * team.
   */
  acquire(deadlineAt: number, signal: AbortSignal, team = ""): Promise<AcquireResult<S>> {
    const waiter = `w${this.nextWaiterNumber}`;
    this.nextWaiterNumber += 1;
    const submit = () => {
      this.apply({ type: "ask", at: this.clock.now(), waiter, team, deadlineAt });
    };
    const giveUp = () => {
      this.refuse(waiter, "deadline");
      this.apply({ type: "giveUp", at: this.clock.now(), waiter });
    };
    return this.waiters.wait(waiter, signal, submit, giveUp);
  }

  /** Applies new limits of the target's connections and of this process's share of them. */
  resize(limit: number, maxShare: number): void {
    this.apply({ type: "resize", at: this.clock.now(), limit, maxShare: maxShare });
  }

  /** Records that the target refused work because all its slots were in use. */
  noteSaturated(): void {
    this.apply({ type: "full", at: this.clock.now() });
  }

  /** Stops granting connections. Those in use are closed when they are returned. */
  drain(): void {
    this.apply({ type: "drain", at: this.clock.now() });
  }

  /** Whether an idle connection that serves the team exists. */
  hasIdle(team: string): boolean {
    return listConnections(this.pool, "idle").some((connection) => connection.team === team);
  }

  /**
   * Counts the requests that have waited for `minWaitMs` and for which no connection is opened, because all
   * places are taken.
   */
  countStarved(minWaitMs: number): number {
    const { lastFailure, share } = this.pool;
    if (lastFailure === "failed" || countAgainstLimit(this.pool) < share) return 0;
    const now = this.clock.now();
    const unserved = listUnservedWaiters(this.pool, ["opening", "suspect"]);
    return unserved.filter(({ since }) => now - since >= minWaitMs).length;
  }

  /** Counts the connections by state, for metrics. */
  countByState(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { type } of Object.values(this.pool.connections)) {
      counts.set(type, (counts.get(type) ?? 0) + 1);
    }
    return counts;
  }

  dispose(): void {
    this.disposal.abort();
    this.ticker.dispose();
    for (const waiter of this.waiters.listIds()) this.refuse(waiter, "draining");
    for (const session of this.sessions.values()) session.close();
    this.sessions.clear();
  }

  private apply(event: ConnectionEvent): void {
    if (this.disposal.signal.aborted) return;
    const applied = applyConnections(this.pool, event);
    if (applied.type === "failed") return;
    this.pool = applied.state;
    for (const effect of applied.effects) this.execute(effect);
    this.ticker.setRunning(!this.isEmpty());
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
      if (this.disposal.signal.aborted || this.pool.connections[connection]?.type !== "opening") {
        session.close();
        this.apply({ type: "gone", at: this.clock.now(), connection });
        return;
      }
      this.sessions.set(connection, session);
      this.apply({ type: "opened", at: this.clock.now(), connection });
    } catch (error) {
      const reason = this.ports.isTooManyConnections(error) ? "tooMany" : "failed";
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
    const held = this.createHeldConnection(waiter, connection, session);
    if (!this.waiters.settle(waiter, { type: "granted", connection: held })) held.drop();
  }

  private createHeldConnection(waiter: string, connection: string, session: S): HeldConnection<S> {
    let lastNotedAt = -Infinity;
    let isHeld = true;
    return {
      session,
      noteProgress: () => {
        const at = this.clock.now();
        if (!isHeld || at - lastNotedAt < progressIntervalMs) return;
        lastNotedAt = at;
        this.apply({ type: "progress", at, connection });
      },
      release: () => {
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

  private isEmpty(): boolean {
    return Object.keys(this.pool.connections).length === 0 && this.waiters.size === 0;
  }
}
