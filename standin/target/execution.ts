import { setTimeout as sleep } from "node:timers/promises";
import type { ControlFunctions } from "./control.js";
import { SqlError } from "./error.js";
import type { Faults } from "./faults.js";
import { LockedError, LockOwner } from "./locks.js";
import type { Member } from "./member.js";
import type { Slots } from "./slots.js";
import {
  findSleep,
  isWrite,
  runStatement,
  type Result,
  type Statement,
  type StatementContext,
} from "./sql/index.js";
import type { StatementOutcome, StatementHistory } from "./statement.js";
import type { Transaction } from "./transaction.js";

/** What the connections of one target share. */
export interface Services {
  readonly member: Member;
  readonly slots: Slots;
  readonly faults: Faults;
  readonly history: StatementHistory;
  readonly control: ControlFunctions;
  readonly serviceMs: number;
}

/** One statement on data that is to be run. */
export interface ExecutionRequest {
  readonly statement: Statement;
  readonly context: StatementContext;
  readonly transaction: Transaction;
  readonly connection: number;
  /** Throws when the target has crashed since the statement came. */
  readonly checkAlive: () => void;
}

/** A statement's result, and how to tell what became of it. */
export interface ExecutionResult {
  readonly result: Result;
  readonly setOutcome: (fate: StatementOutcome) => void;
}

/** Runs a statement in a slot for its service time, as often as it has to wait for a lock. */
export async function executeInSlot(services: Services, item: ExecutionRequest): Promise<ExecutionResult> {
  let serviceMs = findServiceMs(services, item);
  for (;;) {
    const done = await tryWork(services, item, serviceMs);
    if (!(done instanceof LockOwner)) return done;
    // A statement that waits gives its slot back: the holder may need it to come to its end.
    await item.transaction.wait(done);
    serviceMs = 0;
  }
}

function findServiceMs({ serviceMs, faults }: Services, { statement, context }: ExecutionRequest): number {
  return serviceMs * faults.slowFactor + findSleep(statement.node, context);
}

/** Runs a statement in a slot, or tells for whose end it has to wait. */
async function tryWork(
  services: Services,
  item: ExecutionRequest,
  serviceMs: number,
): Promise<ExecutionResult | LockOwner> {
  const release = await services.slots.acquire();
  try {
    if (serviceMs > 0) await sleep(serviceMs);
    await services.faults.running.wait();
    item.checkAlive();
    return runNow(services, item);
  } catch (error) {
    if (error instanceof LockedError) return error.holder;
    throw error;
  } finally {
    release();
  }
}

function runNow({ member, history: record }: Services, item: ExecutionRequest): ExecutionResult {
  const { statement, context, transaction, connection } = item;
  const { node, text } = statement;
  const tell = record.begin(text, connection);
  try {
    if (isWrite(node)) member.beginWrite(transaction);
    return { result: transaction.attempt(() => runStatement(node, transaction, context)), setOutcome: tell };
  } catch (error) {
    tell(describeFailure(error));
    throw error;
  }
}

function describeFailure(error: unknown): StatementOutcome {
  if (error instanceof LockedError) return { type: "waited" };
  return { type: "failed", state: error instanceof SqlError ? error.state : "XX000" };
}
