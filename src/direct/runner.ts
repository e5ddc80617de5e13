import type { Reply, SessionState, Work } from "../statement/index.js";
import type { SessionContext } from "./context.js";
import type { StatementResult } from "./autocommit.js";

/** One transaction of a session, from its beginning to its end, wherever its connection is held. */
export interface OpenTransaction {
  /** `transaction` until it fails or ends. */
  readonly state: SessionState;
  /** Whether a statement of it is on its way. */
  readonly isRunning: boolean;
  /** Whether others wait for the connection that it holds in this process. */
  readonly hasWaiters: boolean;
  /** Runs a statement in it. Never rejects. */
  run(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply>;
  /** Commits it. The session is idle afterwards, whatever came of it. */
  commit(
    context: SessionContext,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementResult>;
  /** Rolls it back without waiting. */
  rollback(context: SessionContext): void;
}

/**
 * Runs what sessions send to their groups. Sessions don't know whether their work reaches a target over
 * this process's own connections or over a gateway's. `arrivedAt` is when the statement came, in
 * milliseconds on the process's clock.
 */
export interface WorkRunner {
  runAutocommit(context: SessionContext, work: Work, arrivedAt: number): Promise<StatementResult>;
  openTransaction(isReadOnly: boolean): OpenTransaction;
}
