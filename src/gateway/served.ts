import type { Socket } from "node:net";
import { create, fromBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import {
  directRunner,
  RedirectOffer,
  sharePositions,
  StatementTrace,
  watchTransactionIdle,
  type OpenTransaction,
  type SessionContext,
  type StatementResult,
} from "../direct/index.js";
import { directEvents } from "../log/events/direct.js";
import { gatewayEvents } from "../log/events/gateway.js";
import {
  GatewayRequestSchema,
  GatewayResponseSchema,
  type CommitStep,
  type GatewayRequest,
  type RunStep,
  type SessionPart,
} from "../peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { failLocally, findEffect, type Reply, type Work } from "../statement/index.js";
import { decodeSession, decodeWork, encodeAnswer, type TransactionPart } from "./codec.js";
import { FrameChannel } from "./channel.js";
import { LivenessMonitor } from "./liveness.js";
import { encodePositions } from "./position-codec.js";
import type { LoadRole } from "./load-figures.js";
import { findServedTeam, findStepRefusal } from "./served-admission.js";
import type { ServedConnectionPorts } from "./served-ports.js";
import { findRole } from "./statement-role.js";
import { LoadReporter, type LoadSource } from "./load-source.js";

type ResponseOutcome = NonNullable<MessageInitShape<typeof GatewayResponseSchema>["outcome"]>;

/** A node with an open transaction is probed when nothing arrived from it for this long. */
const probeAfterMs = 500;
/** Twice the time a busy process takes to answer, since a false alarm rolls transactions back. */
const probeTimeoutMs = 500;
/** A node ends a transaction that is idle for too long; its gateway does so this much later. */
const idleMarginMs = 1000;
/** More concurrent calls and transactions of one node are refused, to bound memory. */
const maxConcurrentCalls = 4096;
const maxTransactions = 1024;

interface ServedTransaction {
  readonly body: OpenTransaction;
  readonly context: SessionContext;
  stopIdleTimer?: () => void;
  /** Whether its node ended it while one of its statements was running. */
  isEnded?: boolean;
}

/** The gateway's end of a connection: runs the statements that a node forwards. */
export class ServedConnection {
  private readonly calls = new Map<number, AbortController>();
  private readonly transactions = new Map<number, ServedTransaction>();
  private readonly channel: FrameChannel;
  private readonly liveness: LivenessMonitor;
  private readonly reporter: LoadReporter;

  constructor(
    socket: Socket,
    private readonly ports: ServedConnectionPorts,
    loads: LoadSource,
    private readonly onEnd: () => void,
  ) {
    this.reporter = new LoadReporter(loads);
    this.channel = new FrameChannel(socket, {
      onData: () => this.liveness.recordData(),
      onFrame: (frame) => this.handle(fromBinary(GatewayRequestSchema, frame)),
      onClose: (reason) => this.handleClose(reason),
    });
    this.liveness = new LivenessMonitor({
      probeAfterMs,
      getProbeTimeoutMs: () => probeTimeoutMs,
      sendProbe: () => this.send(0, { case: "ping", value: true }),
      onTimeout: () => this.channel.close("the node does not answer"),
    });
    // The greeting: from now on the node may send steps.
    this.write({ call: 0, outcome: { case: "pong", value: true }, grantsTokens: true });
  }

  /** The number of the node's running calls and open transactions. */
  get activeCount(): number {
    return this.calls.size + this.transactions.size;
  }

  /** Rolls back all transactions when the time for draining is over, each after the statement that runs in it. */
  endTransactions(): void {
    for (const id of [...this.transactions.keys()]) this.endTransaction(id);
  }

  /** Refuses the statements that still wait, right before the process ends. */
  cancelWaiting(): void {
    for (const abort of this.calls.values()) abort.abort();
  }

  /** Closes the connection and ends all calls and transactions on it. */
  close(): void {
    this.channel.close("closed by this process");
  }

  private handle({ call, step }: GatewayRequest): void {
    switch (step.case) {
      case "run":
        this.superviseRun(this.run(call, step.value));
        return;
      case "commit":
        this.superviseRun(this.commit(call, step.value));
        return;
      case "rollback":
        this.endTransaction(step.value);
        return;
      case "cancel":
        this.calls.get(step.value)?.abort();
        return;
      case "ping":
        this.send(0, { case: "pong", value: this.isServing() });
        return;
      case "tokens": {
        const { team, wanted } = step.value;
        const { tokens, lifeMs, batches = [] } = this.ports.grantTokens(team, wanted);
        this.send(call, { case: "tokens", value: { tokens, lifeMs, batches: [...batches] } });
        return;
      }
      case "positions": {
        const group = this.ports.groups.find(step.value.group);
        const positions = group === undefined ? {} : encodePositions(sharePositions(group));
        this.send(call, { case: "positions", value: positions });
        return;
      }
      case "pong":
      case undefined:
        return;
    }
  }

  /** On a fault of this program, closes the connection; the node counts its pending calls as in doubt. */
  private superviseRun(run: Promise<void>): void {
    run.catch((error: unknown) => {
      this.ports.direct.logger.write(gatewayEvents.servedStatementFailed, {
        reason: String(error),
      });
      this.channel.close("running a statement failed with an internal error");
    });
  }

  /** Runs one statement, inside or outside a transaction. */
  private async run(call: number, step: RunStep): Promise<void> {
    const work = decodeWork(step);
    if (work === undefined) {
      this.refuse(call, "the message contains no statement");
      return;
    }
    const isHeld = step.transaction !== 0 && !step.opens;
    const isRead = step.transaction === 0 && findEffect(work) === "read";
    const admitted = this.admit(call, step.session, isHeld, isRead);
    if (admitted === undefined) return;
    const redirect = this.createRedirectOffer(step, work);
    const context = redirect === undefined ? admitted : { ...admitted, redirect };
    if (step.transaction === 0) {
      await this.answer(call, context, findRole(context, work, true), () =>
        directRunner.runAutocommit(context, work, context.ports.clock.now()),
      );
      return;
    }
    const held = this.findTransaction(step, context);
    await this.answer(call, context, findRole(context, work, step.isReadOnly), async () => ({
      reply:
        held === undefined
          ? createLostReply("failed")
          : await held.body.run(context, work, context.ports.clock.now()),
    }));
    this.handleStatementEnd(step.transaction, held);
  }

  private async commit(call: number, step: CommitStep): Promise<void> {
    const { session, transaction, id, text } = step;
    const context = this.admit(call, session, !step.opens);
    if (context === undefined) return;
    const held = this.findTransaction(step, context);
    await this.answer(call, context, "primary", async () =>
      held === undefined
        ? { reply: createLostReply("idle") }
        : held.body.commit(context, id, text, context.ports.clock.now()),
    );
    this.transactions.delete(transaction);
    this.updateLiveness();
  }

  /**
   * Builds the context for running a step; undefined when the step is refused and nothing has run. Steps of an
   * open transaction (`isHeld`) are accepted even while the group is not served, since the transaction's
   * connection is held here.
   */
  private admit(
    call: number,
    part: SessionPart | undefined,
    isHeld: boolean,
    isRead = false,
  ): SessionContext | undefined {
    const session = decodeSession(part);
    if (session === undefined) {
      this.refuse(call, "the message contains no known route");
      return undefined;
    }
    const name = session.database.group;
    const group = this.ports.groups.find(name);
    const refusal = isHeld ? undefined : findStepRefusal(this.ports, session, group, isRead);
    if (group === undefined || refusal !== undefined) {
      this.refuse(call, refusal ?? `the group ${name} is unknown to this gateway`, part);
      return undefined;
    }
    const team = findServedTeam(this.ports, session.teamName);
    if (team === "unknown") {
      this.refuse(call, `the team ${session.teamName ?? ""} is unknown to this gateway`, part);
      return undefined;
    }
    if (this.calls.size >= maxConcurrentCalls || this.transactions.size >= maxTransactions) {
      this.refuse(call, "too many calls or transactions of this node are pending", part);
      return undefined;
    }
    const abort = new AbortController();
    this.calls.set(call, abort);
    const { direct: ports, nextId } = this.ports;
    const trace = new StatementTrace();
    return { ...session, team, ports, group, disconnectSignal: abort.signal, trace, nextId };
  }

  private findTransaction(
    { transaction: id, opens, isReadOnly }: TransactionPart,
    context: SessionContext,
  ): ServedTransaction | undefined {
    if (opens) {
      const body = directRunner.openTransaction(isReadOnly);
      this.transactions.set(id, { body, context });
    }
    const held = this.transactions.get(id);
    cancelIdleTimer(held);
    return held;
  }

  /**
   * The offer to leave a read to the primary's gateway; undefined unless its node accepts that, and the read is by
   * itself or the first of a read-only transaction.
   */
  private createRedirectOffer(step: RunStep, work: Work): RedirectOffer | undefined {
    const { session, transaction, opens, isReadOnly } = step;
    const isFirst = transaction === 0 || (opens && isReadOnly);
    if (session?.acceptsRedirect !== true || !isFirst || findEffect(work) === "write")
      return undefined;
    const { direct, findRedirectDestinations } = this.ports;
    if (!direct.isSlotPlanned()) return undefined;
    return new RedirectOffer(findRedirectDestinations(session.group));
  }

  /** Runs a step and sends its answer, which the node ignores if it has cancelled the call. */
  private async answer(
    call: number,
    { trace, redirect, group }: SessionContext,
    concerned: LoadRole,
    run: () => Promise<StatementResult>,
  ): Promise<void> {
    try {
      const { reply, commitMark: written } = await run();
      if (redirect?.cause !== undefined) {
        const load = this.reporter.findReport(group.name, concerned, false);
        const value = redirect.cause;
        this.write({ call, outcome: { case: "redirect", value }, ...(load && { load }) });
        return;
      }
      const { target, role, attemptCount: tries } = trace;
      const answer = { reply, isWritten: written !== undefined, target, role, tries };
      const isRefusal = reply.end.type === "error" && reply.end.code === "busy";
      const ranAt = role === "none" ? concerned : role;
      const load = this.reporter.findReport(group.name, ranAt, isRefusal);
      const value = encodeAnswer(answer);
      this.write({ call, outcome: { case: "reply", value }, ...(load && { load }) });
    } finally {
      this.calls.delete(call);
    }
  }

  /**
   * Removes a failed transaction, which holds nothing any more, and limits how long an open one may be idle.
   * A transaction that its node ended during the statement is rolled back only now, when its connection can be
   * released. If it were rolled back before its first statement got a connection, that connection and its
   * slot would be held for ever, and the gateway would run out of them.
   */
  private handleStatementEnd(id: number, held: ServedTransaction | undefined): void {
    if (held === undefined) return;
    if (held.isEnded === true) {
      held.body.rollback(held.context);
      return;
    }
    if (held.body.state !== "transaction") {
      this.endTransaction(id);
      return;
    }
    const limitMs = this.ports.direct.getServingConfig().transactionIdleMs + idleMarginMs;
    held.stopIdleTimer = watchTransactionIdle({
      limitMs,
      hasWaiters: () => held.body.hasWaiters,
      end: (restedMs) => {
        const { session } = held.context;
        this.ports.direct.logger.write(directEvents.transactionIdle, { session, restedMs });
        this.endTransaction(id);
      },
    });
    this.updateLiveness();
  }

  private endTransaction(id: number): void {
    const held = this.transactions.get(id);
    this.transactions.delete(id);
    cancelIdleTimer(held);
    if (held?.body.isRunning === true) held.isEnded = true;
    else held?.body.rollback(held.context);
    this.updateLiveness();
  }

  /** Monitors the connection while transactions are open: if the node is lost, they must be rolled back. */
  private updateLiveness(): void {
    this.liveness.setAwaiting(this.channel.isOpen && this.transactions.size > 0);
  }

  /** Whether this process runs new statements. Where slots are planned, another gateway uses them otherwise. */
  private isServing(): boolean {
    return !this.ports.direct.isSlotPlanned() || this.ports.findRefusal("") === undefined;
  }

  private refuse(call: number, reason: string, part?: SessionPart): void {
    const level = part?.level === undefined ? {} : { level: part.level };
    this.ports.direct.logger.write(gatewayEvents.statementRefused, { reason, ...level });
    this.send(call, { case: "turnedAway", value: reason });
  }

  private send(call: number, outcome: ResponseOutcome): void {
    this.write({ call, outcome });
  }

  private write(response: MessageInitShape<typeof GatewayResponseSchema>): void {
    if (!this.channel.isOpen) return;
    const message = create(GatewayResponseSchema, response);
    this.channel.write(sizeDelimitedEncode(GatewayResponseSchema, message));
  }

  /** Cancels running calls and rolls back open transactions at once. */
  private handleClose(reason: string): void {
    this.liveness.stop();
    this.cancelWaiting();
    this.endTransactions();
    this.ports.direct.logger.write(gatewayEvents.servedConnectionClosed, { reason });
    this.onEnd();
  }
}

function cancelIdleTimer(held: ServedTransaction | undefined): void {
  held?.stopIdleTimer?.();
}

function createLostReply(state: "idle" | "failed"): Reply {
  return failLocally("aborted", "the transaction has already ended at its gateway", state);
}
