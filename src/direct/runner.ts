import type { Reply, SessionState, Work } from "../statement/index.js";
import type { SessionContext } from "./context.js";
import type { StatementResult } from "./autocommit.js";

/** An open transaction of a session. Its connection is held by this process or by a gateway. */
export interface OpenTransaction {
  /** `transaction`, or `failed` once it has failed or ended. */
  readonly state: SessionState;
  /** Whether one of its statements is running. */
  readonly isRunning: boolean;
  /** Whether other statements wait for the target of the connection that it holds in this process. */
  readonly hasWaiters: boolean;
  /** Runs a statement in the transaction. Never rejects. */
  run(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply>;
  /** Commits the transaction. The session is idle afterwards, whatever the result. */
  commit(
    context: SessionContext,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementResult>;
  /** Rolls the transaction back without waiting for the result. */
  rollback(context: SessionContext): void;
}

/**
 * Runs the statements of sessions, over this process's own connections or through a gateway; sessions don't
 * know which. `arrivedAt` is when the statement arrived, in milliseconds on the process's clock.
 */
export interface WorkRunner {
  runAutocommit(context: SessionContext, work: Work, arrivedAt: number): Promise<StatementResult>;
  openTransaction(isReadOnly: boolean): OpenTransaction;
}
