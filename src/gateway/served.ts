import type { Socket } from "node:net";
import { create, fromBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import {
  directRunner,
  StatementTrace,
  watchRest,
  type DirectPorts,
  type GroupDirectory,
  type OpenTransaction,
  type SessionContext,
  type StatementEnd,
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
import type { Team } from "../model/index.js";
import { failLocally, type Reply } from "../statement/index.js";
import { decodeSession, decodeWork, encodeAnswer, type TransactionPart } from "./codec.js";
import { FrameChannel } from "./channel.js";
import { LivenessMonitor } from "./liveness.js";

/** What serving other nodes needs. */
export interface ServedConnectionPorts {
  readonly direct: DirectPorts;
  readonly groups: GroupDirectory;
  /** Why this process does not serve a group now; absent while it does. */
  readonly findRefusal: (group: string) => string | undefined;
  readonly nextId: () => string;
}

type ResponseOutcome = NonNullable<MessageInitShape<typeof GatewayResponseSchema>["outcome"]>;

/** A node with an open transaction that says nothing for this long is asked for a sign of life. */
const quietMs = 500;
/** Twice what a busy process takes to answer: what a false alarm ends is rolled back. */
const patienceMs = 500;
/** A node ends a transaction that rests for too long; its gateway does so this much later, in milliseconds. */
const idleMarginMs = 1000;
/** More at once from one node than this are turned away, to bound memory. */
const maxCalls = 4096;
const maxTransactions = 1024;

interface ServedTransaction {
  readonly body: OpenTransaction;
  readonly context: SessionContext;
  stopRest?: () => void;
  /** Its node has ended it while a statement of it was on its way. */
  isEnded?: boolean;
}

/** The gateway's end of one connection: runs what a node forwards. */
export class ServedConnection {
  private readonly calls = new Map<number, AbortController>();
  private readonly transactions = new Map<number, ServedTransaction>();
  private readonly channel: FrameChannel;
  private readonly silence: LivenessMonitor;

  constructor(
    socket: Socket,
    private readonly ports: ServedConnectionPorts,
    private readonly onEnd: () => void,
  ) {
    this.channel = new FrameChannel(socket, {
      onData: () => this.silence.recordData(),
      onFrame: (frame) => this.handle(fromBinary(GatewayRequestSchema, frame)),
      onClose: (reason) => this.noteEnd(reason),
    });
    this.silence = new LivenessMonitor({
      probeAfterMs: quietMs,
      probeTimeoutMs: patienceMs,
      sendProbe: () => this.send(0, { case: "ping", value: true }),
      onTimeout: () => this.channel.close("the node is silent"),
    });
    // The greeting: from now on what the node sends may be run.
    this.send(0, { case: "pong", value: true });
  }

  /** What is under way for the node. */
  get activeCount(): number {
    return this.calls.size + this.transactions.size;
  }

  /** Rolls back the transactions that rest between two statements: their time to end is over. */
  rollBackIdleTransactions(): void {
    for (const [id, { body }] of this.transactions) {
      if (!body.isRunning) this.endTransaction(id);
    }
  }

  /** Ends the connection, with all that is under way on it. */
  close(): void {
    this.channel.close("closed here");
  }

  private handle({ call, step }: GatewayRequest): void {
    switch (step.case) {
      case "run":
        this.serve(this.run(call, step.value));
        return;
      case "commit":
        this.serve(this.commit(call, step.value));
        return;
      case "rollback":
        this.endTransaction(step.value);
        return;
      case "cancel":
        this.calls.get(step.value)?.abort();
        return;
      case "ping":
        this.send(0, { case: "pong", value: true });
        return;
      case "pong":
      case undefined:
        return;
    }
  }

  /** A fault of this program ends one node's connection, which counts what was under way as in doubt. */
  private serve(run: Promise<void>): void {
    run.catch((error: unknown) => {
      this.ports.direct.logger.write(gatewayEvents.servedBroken, { reason: String(error) });
      this.channel.close("a statement's run has failed");
    });
  }

  /** Runs one statement, by itself or in a transaction. */
  private async run(call: number, step: RunStep): Promise<void> {
    const work = decodeWork(step);
    if (work === undefined) {
      this.refuse(call, "the message names no statement");
      return;
    }
    const context = this.admit(call, step.session, step.transaction !== 0 && !step.opens);
    if (context === undefined) return;
    if (step.transaction === 0) {
      await this.answer(call, context, () =>
        directRunner.runSingle(context, work, context.ports.clock.now()),
      );
      return;
    }
    const held = this.findTransaction(step, context);
    await this.answer(call, context, async () => ({
      reply:
        held === undefined
          ? lostTransaction("failed")
          : await held.body.run(context, work, context.ports.clock.now()),
    }));
    this.noteStatementEnd(step.transaction, held);
  }

  private async commit(call: number, step: CommitStep): Promise<void> {
    const { session, transaction, id, text } = step;
    const context = this.admit(call, session, !step.opens);
    if (context === undefined) return;
    const held = this.findTransaction(step, context);
    await this.answer(call, context, async () =>
      held === undefined
        ? { reply: lostTransaction("idle") }
        : held.body.commit(context, id, text, context.ports.clock.now()),
    );
    this.transactions.delete(transaction);
    this.noteAwaited();
  }

  /**
   * What a statement's run needs; nothing where it is turned away, unrun. What belongs to an open
   * transaction is never turned away: its connection is here.
   */
  private admit(
    call: number,
    part: SessionPart | undefined,
    isHeld: boolean,
  ): SessionContext | undefined {
    const session = decodeSession(part);
    if (session === undefined) {
      this.refuse(call, "the message names no route");
      return undefined;
    }
    const name = session.database.group;
    const group = this.ports.groups.find(name);
    const refusal = isHeld ? undefined : this.ports.findRefusal(name);
    if (group === undefined || refusal !== undefined) {
      this.refuse(call, refusal ?? `no group ${name} is known here`);
      return undefined;
    }
    const team = this.findTeam(session.teamName);
    if (team === "unknown") {
      this.refuse(call, `no team ${session.teamName ?? ""} is known here`);
      return undefined;
    }
    if (this.calls.size >= maxCalls || this.transactions.size >= maxTransactions) {
      this.refuse(call, "too much is under way for this node");
      return undefined;
    }
    const abort = new AbortController();
    this.calls.set(call, abort);
    const { direct: ports, nextId } = this.ports;
    const trace = new StatementTrace();
    return { ...session, team, ports, group, gone: abort.signal, trace, nextId };
  }

  /**
   * The team as this process's configuration knows it. The node that forwards has looked the key up; what
   * bounds the team is looked up here, where its statements are sent from.
   */
  private findTeam(name: string | undefined): Team | "unknown" | undefined {
    if (name === undefined) return undefined;
    return this.ports.direct.scene().roster?.findByName(name) ?? "unknown";
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
    stopIdle(held);
    return held;
  }

  /** Runs what was asked and sends its answer; the caller of one that was given up hears nothing. */
  private async answer(
    call: number,
    { trace }: SessionContext,
    run: () => Promise<StatementEnd>,
  ): Promise<void> {
    try {
      const { reply, written } = await run();
      const { target, role, tryCount: tries } = trace;
      const answer = { reply, isWritten: written !== undefined, target, role, tries };
      this.send(call, { case: "reply", value: encodeAnswer(answer) });
    } finally {
      this.calls.delete(call);
    }
  }

  /**
   * A transaction that has failed holds nothing any more; one that is open may rest only for so long. One
   * that its node ended meanwhile has only now a connection that can be given back: rolled back before its
   * first statement was placed, it would hold one, with its slot, for good, and the gateway would run out of them.
   */
  private noteStatementEnd(id: number, held: ServedTransaction | undefined): void {
    if (held === undefined) return;
    if (held.isEnded === true) {
      held.body.rollback(held.context);
      return;
    }
    if (held.body.state !== "transaction") {
      this.endTransaction(id);
      return;
    }
    const limitMs = this.ports.direct.scene().transactionIdleMs + idleMarginMs;
    held.stopRest = watchRest({
      limitMs,
      isWanted: () => held.body.isWanted,
      end: (restedMs) => {
        const { session } = held.context;
        this.ports.direct.logger.write(directEvents.transactionIdle, { session, restedMs });
        this.endTransaction(id);
      },
    });
    this.noteAwaited();
  }

  private endTransaction(id: number): void {
    const held = this.transactions.get(id);
    this.transactions.delete(id);
    stopIdle(held);
    if (held?.body.isRunning === true) held.isEnded = true;
    else held?.body.rollback(held.context);
    this.noteAwaited();
  }

  /** Of an open transaction's node something must come: its end would free the connection. */
  private noteAwaited(): void {
    this.silence.setAwaiting(this.channel.isOpen && this.transactions.size > 0);
  }

  private refuse(call: number, reason: string): void {
    this.ports.direct.logger.write(gatewayEvents.turnedAway, { reason });
    this.send(call, { case: "turnedAway", value: reason });
  }

  private send(call: number, outcome: ResponseOutcome): void {
    if (!this.channel.isOpen) return;
    const message = create(GatewayResponseSchema, { call, outcome });
    this.channel.write(sizeDelimitedEncode(GatewayResponseSchema, message));
  }

  /** What waits gives up, and open transactions are rolled back at once. */
  private noteEnd(reason: string): void {
    this.silence.stop();
    for (const abort of this.calls.values()) abort.abort();
    for (const id of [...this.transactions.keys()]) this.endTransaction(id);
    this.ports.direct.logger.write(gatewayEvents.servedClosed, { reason });
    this.onEnd();
  }
}

function stopIdle(held: ServedTransaction | undefined): void {
  held?.stopRest?.();
}

function lostTransaction(state: "idle" | "failed"): Reply {
  return failLocally("aborted", "the transaction has ended at its gateway", state);
}
