import { setTimeout as sleep } from "node:timers/promises";
import type { RandomStream } from "../random.js";
import {
  describeError,
  type LineAnswer,
  type LineClient,
  type OpenFailure,
} from "./line-client.js";
import type { SoakKind } from "./site.js";
import type { OperationOutcome } from "./tally.js";

/** A write that an operation sent, and what its caller was told. */
export interface ToldWrite {
  readonly id: string;
  readonly told: "kept" | "notKept" | "unknown";
}

/** The end of an operation, with the writes of all its attempts. */
export interface OperationEnd {
  readonly outcome: OperationOutcome;
  readonly reason: string;
  readonly writes: readonly ToldWrite[];
}

/** What an operation needs from its surroundings. */
export interface OperationContext {
  readonly kind: SoakKind;
  readonly retries: number;
  readonly random: RandomStream;
  /** Opens a session for an attempt, or takes one that stands open; the reason if there is none. */
  open(attempt: number): Promise<LineClient | OpenFailure>;
  createId(): string;
}

interface Attempt {
  readonly result: "done" | "promised" | "failed" | "denied" | "unknown";
  readonly reason: string;
  readonly writes: readonly ToldWrite[];
}

const promises = new Set(["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANYCON"]);
const percent = 100;
const itemCount = 2000;
const maxTransactionReads = 4;
const minRetryMs = 50;
const maxRetryMs = 150;

/** Runs one operation with its retries, as the users' callers do. */
export async function runOperation(context: OperationContext): Promise<OperationEnd> {
  const { kind, retries } = context;
  const startedAt = performance.now();
  const writes: ToldWrite[] = [];
  const isWriting = context.random.nextInteger(0, percent - 1) < kind.writes * percent;
  const isTransaction = context.random.nextInteger(0, percent - 1) < kind.transactions * percent;
  for (let attempt = 0; ; attempt += 1) {
    const leftMs = kind.deadlineMs - (performance.now() - startedAt);
    const ended = await runAttempt(context, attempt, { isWriting, isTransaction, leftMs });
    writes.push(...ended.writes);
    const elapsedMs = performance.now() - startedAt;
    const { reason } = ended;
    if (ended.result === "done") {
      const outcome = elapsedMs <= kind.objectiveMs ? "served" : "late";
      return { outcome, reason: "", writes };
    }
    if (ended.result === "denied") return { outcome: "denied", reason, writes };
    const canRetry = ended.result === "promised" || (ended.result === "failed" && !isWriting);
    const pauseMs = context.random.nextInteger(minRetryMs, maxRetryMs);
    if (!canRetry || attempt >= retries || elapsedMs + pauseMs > kind.deadlineMs) {
      return { outcome: ended.result === "promised" ? "refused" : "failed", reason, writes };
    }
    await sleep(pauseMs);
  }
}

interface Plan {
  readonly isWriting: boolean;
  readonly isTransaction: boolean;
  readonly leftMs: number;
}

async function runAttempt(
  context: OperationContext,
  attempt: number,
  plan: Plan,
): Promise<Attempt> {
  const client = await context.open(attempt);
  if ("reason" in client) {
    const isDenied = client.reason.startsWith("DENIED");
    return { result: isDenied ? "denied" : "promised", reason: client.reason, writes: [] };
  }
  return plan.isTransaction
    ? runTransaction(context, client, plan)
    : runSingle(context, client, plan);
}

async function runSingle(
  context: OperationContext,
  client: LineClient,
  { isWriting, leftMs }: Plan,
): Promise<Attempt> {
  const id = context.createId();
  const answer = await client.send(`QUERY ${id} ${createText(context, isWriting, id)}`, leftMs);
  if (isWriting) return classifyWrite(answer, [id]);
  return { ...classifyRead(answer), writes: [] };
}

async function runTransaction(
  context: OperationContext,
  client: LineClient,
  { isWriting, leftMs }: Plan,
): Promise<Attempt> {
  const endsAt = performance.now() + leftMs;
  const getLeftMs = () => Math.max(1, endsAt - performance.now());
  const ids: string[] = [];
  const send = (id: string, text: string) => client.send(`QUERY ${id} ${text}`, getLeftMs());
  const begin = await send(context.createId(), isWriting ? "BEGIN" : "BEGIN READ");
  if (begin.type !== "complete") return { ...classifyRead(begin), writes: [] };
  const reads = context.random.nextInteger(1, maxTransactionReads);
  for (let i = 0; i < reads; i += 1) {
    const isLast = isWriting && i === reads - 1;
    const id = context.createId();
    if (isLast) ids.push(id);
    const answer = await send(id, createText(context, isLast, id));
    if (answer.type !== "complete") {
      if (answer.type === "error") await send(context.createId(), "ROLLBACK");
      // Without its COMMIT nothing of a transaction is kept.
      return { ...classifyRead(answer), writes: ids.map((w) => ({ id: w, told: "notKept" })) };
    }
  }
  const commit = await send(context.createId(), "COMMIT");
  return isWriting ? classifyWrite(commit, ids) : { ...classifyRead(commit), writes: [] };
}

/** The item's name tells the target how long the statement takes. */
function createText({ kind, random }: OperationContext, isWriting: boolean, id: string): string {
  const item = `${random.nextInteger(Math.ceil(kind.workMs / 2), Math.ceil(kind.workMs * 1.5))}-${random.nextInteger(0, itemCount)}`;
  return isWriting ? `WRITE ${item} ${id}` : `READ ${item}`;
}

function classifyRead(answer: LineAnswer): Omit<Attempt, "writes"> {
  switch (answer.type) {
    case "complete":
      return { result: "done", reason: "" };
    case "lost":
      return { result: "failed", reason: `no answer: ${answer.reason}` };
    case "error": {
      const reason = describeError(answer);
      if (answer.code === "DENIED") return { result: "denied", reason };
      return { result: promises.has(answer.code) ? "promised" : "failed", reason };
    }
  }
}

function classifyWrite(answer: LineAnswer, ids: readonly string[]): Attempt {
  const { result, reason } = classifyRead(answer);
  switch (result) {
    case "done":
      return { result, reason, writes: ids.map((id) => ({ id, told: "kept" })) };
    case "promised":
    case "denied":
      return { result, reason, writes: ids.map((id) => ({ id, told: "notKept" })) };
    case "failed":
    case "unknown":
      return { result: "unknown", reason, writes: ids.map((id) => ({ id, told: "unknown" })) };
  }
}
