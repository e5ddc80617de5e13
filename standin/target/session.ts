import type { Socket } from "node:net";
import { AnswerLostError, Backend } from "./backend.js";
import type { Services } from "./execution.js";
import { SqlError } from "./error.js";
import type { Gate } from "./faults.js";
import { decodeFrontend, type FrontendMessage } from "./frontend.js";
import type { Output } from "./output.js";
import { parseStatements, type Result } from "./sql/index.js";
import type { PreparedStatement } from "./statement.js";
import {
  encodeEmptyMessage,
  encodeComplete,
  encodeDataRow,
  encodeError,
  encodeParameters,
  encodeReady,
  encodeRowDescription,
} from "./wire.js";

interface Portal {
  readonly prepared: PreparedStatement;
  readonly parameters: readonly (string | null)[];
  /** The result and the number of rows already sent; set by the first Execute. */
  progress?: { readonly result: Result; sent: number };
}

const textOid = 25;
const queryCode = 0x51;
const syncCode = 0x53;

/** Handles the protocol of one connection after its start-up. */
export class Session {
  private readonly queue: Buffer[] = [];
  private readonly backend: Backend;
  private readonly prepared = new Map<string, PreparedStatement>();
  private readonly portals = new Map<string, Portal>();
  private isBusy = false;
  private isSkippingToSync = false;

  constructor(
    private readonly socket: Socket,
    private readonly output: Output,
    services: Services,
    id: number,
    /** Gates that must be open before a message is handled. */
    private readonly gates: readonly Gate[],
    /** Resolves when the start-up has been answered. */
    private readonly ready: Promise<void>,
  ) {
    this.backend = new Backend(services, id);
    socket.on("close", () => {
      if (!this.isBusy) this.backend.rollBack();
    });
  }

  /** Queues one complete message; messages are handled in order, one at a time. */
  enqueue(data: Buffer): void {
    this.queue.push(data);
    if (!this.isBusy) void this.runQueue();
  }

  /** Simulates a crash: discards queued messages and destroys the connection. */
  kill(): void {
    this.queue.length = 0;
    this.backend.kill();
    this.socket.destroy();
  }

  private async runQueue(): Promise<void> {
    this.isBusy = true;
    await this.ready;
    for (let data = this.queue.shift(); data !== undefined; data = this.queue.shift()) {
      for (const gate of this.gates) await gate.wait();
      if (!this.output.isSilent) await this.handle(data);
    }
    this.isBusy = false;
    if (this.socket.destroyed) this.backend.rollBack();
  }

  private async handle(data: Buffer): Promise<void> {
    const endsBatch = data[0] === queryCode || data[0] === syncCode;
    try {
      const message = decodeFrontend(data);
      if (this.isSkippingToSync && message.type !== "sync" && message.type !== "terminate") return;
      await this.handleMessage(message);
    } catch (error) {
      await this.reportError(error, endsBatch);
    }
  }

  private async handleMessage(message: FrontendMessage): Promise<void> {
    switch (message.type) {
      case "query":
        return this.runQuery(message.text);
      case "parse":
        this.handleParse(message);
        return;
      case "bind":
        this.handleBind(message);
        return;
      case "describe":
        this.handleDescribe(message);
        return;
      case "execute":
        return this.handleExecute(message);
      case "close":
        (message.what === "statement" ? this.prepared : this.portals).delete(message.name);
        this.output.push(encodeEmptyMessage("closeComplete"));
        return;
      case "sync":
        this.isSkippingToSync = false;
        this.portals.clear();
        this.backend.commitImplicit();
        return this.sendReady();
      case "flush":
        return this.output.send();
      case "terminate":
        this.socket.end();
        return;
    }
  }

  private async runQuery(text: string): Promise<void> {
    const statements = parseStatements(text);
    if (statements.length === 0) this.output.push(encodeEmptyMessage("emptyQuery"));
    for (const [i, statement] of statements.entries()) {
      const result = await this.backend.run(statement, []);
      if (i === statements.length - 1) this.backend.commitImplicit();
      if (result.fields !== undefined) this.output.push(encodeRowDescription(result.fields));
      await this.sendRows(result, 0, result.rows.length);
      this.output.push(encodeComplete(result.tag));
    }
    await this.sendReady();
  }

  private handleParse({ name, text, oids }: Extract<FrontendMessage, { type: "parse" }>): void {
    const statements = parseStatements(text);
    if (statements.length > 1) {
      throw new SqlError("42601", "cannot insert multiple commands into a prepared statement");
    }
    this.prepared.set(name, { text, oids, node: statements[0]?.node });
    this.output.push(encodeEmptyMessage("parseComplete"));
  }

  private handleBind({
    portal,
    name,
    parameters,
  }: Extract<FrontendMessage, { type: "bind" }>): void {
    this.portals.set(portal, { prepared: this.findPrepared(name), parameters });
    this.output.push(encodeEmptyMessage("bindComplete"));
  }

  private handleDescribe({ what, name }: Extract<FrontendMessage, { type: "describe" }>): void {
    const isStatement = what === "statement";
    const portal = isStatement ? undefined : this.findPortal(name);
    const prepared = portal?.prepared ?? this.findPrepared(name);
    const count = countParameters(prepared.text);
    if (isStatement) this.output.push(encodeParameters(resolveOids(prepared.oids, count)));
    const parameters = portal?.parameters ?? Array.from({ length: count }, () => null);
    const fields =
      prepared.node === undefined ? undefined : this.backend.describe(prepared.node, parameters);
    this.output.push(
      fields === undefined ? encodeEmptyMessage("noData") : encodeRowDescription(fields),
    );
  }

  private async handleExecute({ portal, limit }: Extract<FrontendMessage, { type: "execute" }>) {
    const open = this.findPortal(portal);
    const { node, text } = open.prepared;
    if (node === undefined) {
      this.output.push(encodeEmptyMessage("emptyQuery"));
      return;
    }
    open.progress ??= {
      result: await this.backend.run({ node, text }, open.parameters),
      sent: 0,
    };
    const { progress } = open;
    const remaining = progress.result.rows.length - progress.sent;
    const count = limit > 0 ? Math.min(limit, remaining) : remaining;
    await this.sendRows(progress.result, progress.sent, count);
    progress.sent += count;
    const isSuspended = limit > 0 && count < remaining;
    this.output.push(
      isSuspended ? encodeEmptyMessage("portalSuspended") : encodeComplete(progress.result.tag),
    );
  }

  private async sendRows(result: Result, from: number, count: number): Promise<void> {
    for (let i = from; i < from + count; i++) {
      this.output.push(encodeDataRow(result.rows[i] ?? []));
      if (this.output.isFull) await this.output.send();
    }
  }

  private sendReady(): Promise<void> {
    this.output.push(encodeReady(this.backend.status));
    return this.output.send();
  }

  private async reportError(error: unknown, endsBatch: boolean): Promise<void> {
    if (error instanceof AnswerLostError) {
      this.output.discardAll(error.mode);
      return;
    }
    this.backend.markFailed();
    const state = error instanceof SqlError ? error.state : "XX000";
    const message = error instanceof Error ? error.message : String(error);
    this.output.push(encodeError("ERROR", state, message));
    this.isSkippingToSync = !endsBatch;
    await (endsBatch ? this.sendReady() : this.output.send());
  }

  private findPrepared(name: string): PreparedStatement {
    const prepared = this.prepared.get(name);
    if (prepared !== undefined) return prepared;
    throw new SqlError("26000", `prepared statement "${name}" does not exist`);
  }

  private findPortal(name: string): Portal {
    const portal = this.portals.get(name);
    if (portal !== undefined) return portal;
    throw new SqlError("34000", `portal "${name}" does not exist`);
  }
}

function countParameters(text: string): number {
  return [...text.matchAll(/\$(\d+)/g)].reduce((n, [, digits]) => Math.max(n, Number(digits)), 0);
}

/** Resolves parameter types; one that the client left unspecified becomes text. */
function resolveOids(given: readonly number[], count: number): readonly number[] {
  const length = Math.max(given.length, count);
  return Array.from({ length }, (_, i) => (given[i] ?? 0) || textOid);
}
