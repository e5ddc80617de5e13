import { setTimeout as sleep } from "node:timers/promises";
import type { ControlFunctions } from "./control.js";
import { SqlError } from "./error.js";
import type { Faults } from "./faults.js";
import { LockedError, LockOwner } from "./locks.js";
import type { Member } from "./member.js";
import type { Slots } from "./slots.js";
import {
  getSleepMs,
  isWrite,
  runStatement,
  type Result,
  type Statement,
  type StatementContext,
} from "./sql/index.js";
import type { StatementOutcome, StatementHistory } from "./statement.js";
import type { Transaction } from "./transaction.js";

/** The state that all connections of one target share. */
export interface Services {
  readonly member: Member;
  readonly slots: Slots;
  readonly faults: Faults;
  readonly history: StatementHistory;
  readonly control: ControlFunctions;
  readonly serviceMs: number;
}

/** One data statement to execute. */
export interface ExecutionRequest {
  readonly statement: Statement;
  readonly context: StatementContext;
  readonly transaction: Transaction;
  readonly connection: number;
  /** Throws if the target has crashed since the statement arrived. */
  readonly checkAlive: () => void;
}

/** A statement's result; `setOutcome` records whether it is committed or rolled back later. */
export interface ExecutionResult {
  readonly result: Result;
  readonly setOutcome: (outcome: StatementOutcome) => void;
}

/** Runs a statement in a slot for its service time, and again after each wait for a lock. */
export async function executeInSlot(
  services: Services,
  request: ExecutionRequest,
): Promise<ExecutionResult> {
  let serviceMs = findServiceMs(services, request);
  for (;;) {
    const result = await tryExecute(services, request, serviceMs);
    if (!(result instanceof LockOwner)) return result;
    // A waiting statement releases its slot, since the lock's holder may need it to finish.
    await request.transaction.wait(result);
    serviceMs = 0;
  }
}

function findServiceMs(
  { serviceMs, faults }: Services,
  { statement, context }: ExecutionRequest,
): number {
  return serviceMs * faults.slowFactor + getSleepMs(statement.node, context);
}

/** Runs a statement in a slot; returns the lock's holder if it has to wait for one. */
async function tryExecute(
  services: Services,
  request: ExecutionRequest,
  serviceMs: number,
): Promise<ExecutionResult | LockOwner> {
  const release = await services.slots.acquire();
  try {
    if (serviceMs > 0) await sleep(serviceMs);
    await services.faults.running.wait();
    request.checkAlive();
    return executeStatement(services, request);
  } catch (error) {
    if (error instanceof LockedError) return error.holder;
    throw error;
  } finally {
    release();
  }
}

function executeStatement(
  { member, history }: Services,
  request: ExecutionRequest,
): ExecutionResult {
  const { statement, context, transaction, connection } = request;
  const { node, text } = statement;
  const setOutcome = history.begin(text, connection);
  try {
    if (isWrite(node)) member.beginWrite(transaction);
    return {
      result: transaction.attempt(() => runStatement(node, transaction, context)),
      setOutcome,
    };
  } catch (error) {
    setOutcome(describeFailure(error));
    throw error;
  }
}

function describeFailure(error: unknown): StatementOutcome {
  if (error instanceof LockedError) return { type: "waited" };
  return { type: "failed", state: error instanceof SqlError ? error.state : "XX000" };
}
