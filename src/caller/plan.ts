import { createHash } from "node:crypto";
import type { Effect } from "../model/index.js";
import {
  applyStep,
  type PreparedStatement,
  type Session,
  type SessionLimits,
  type SessionStep,
} from "../session/index.js";
import { classifyStatement, parseTags, type StatementKind } from "../sql/index.js";
import type { Batch } from "./batch.js";
import { type CallerError, sqlStates } from "./errors.js";
import {
  encodeSync,
  encodeForUnnamedStatement,
  encodeUnnamedBind,
  encodeUnnamedParse,
  type ExtendedMessage,
  parseExtended,
} from "./extended.js";

/** A reply that the target has to send, in this order. */
export type ExpectedReply =
  /** The reply to a `Parse` that the proxy added; not forwarded. */
  | { readonly type: "injectedParse" }
  | { readonly type: "parse" | "closeStatement"; readonly step: SessionStep }
  | { readonly type: "bind" | "describeStatement" | "describePortal" | "closePortal" }
  | { readonly type: "execute"; readonly kind: StatementKind };

/** The classification of a batch, and the messages that the target receives for it. */
export interface BatchPlan {
  readonly type: "planned";
  readonly messages: Uint8Array;
  /** Absent for a simple query or a function call, whose replies can't be known in advance. */
  readonly replies?: readonly ExpectedReply[];
  readonly effect: Effect;
  readonly tables: readonly string[];
  /** The statements that the batch runs, in order. */
  readonly statements: readonly StatementKind[];
  readonly tags: ReadonlyMap<string, string>;
  /** SHA-256 of the statements and parameters, in hexadecimal. */
  readonly digest: string;
}

/** A batch that is refused as a whole. */
export interface RefusedBatch {
  readonly type: "refused";
  readonly error: CallerError;
}

/** Plans a batch with the session's prepared statements. Throws `ProtocolError`. */
export function planBatch(
  batch: Batch,
  session: Session,
  limits: SessionLimits,
): BatchPlan | RefusedBatch {
  switch (batch.type) {
    case "query":
      return planQuery(batch.text, batch.message);
    case "functionCall":
      return planFunctionCall(batch.message);
    case "extended":
      return new ExtendedPlanner(session, limits).plan(batch.messages);
  }
}

function planQuery(text: string, message: Uint8Array): BatchPlan {
  const { statement, tags } = parseTags(text);
  const digest = createHash("sha256").update(statement).digest("hex");
  return { type: "planned", messages: message, ...classifyStatement(statement), tags, digest };
}

function planFunctionCall(messages: Uint8Array): BatchPlan {
  const digest = createHash("sha256").update(messages).digest("hex");
  return {
    type: "planned",
    messages,
    effect: "write",
    tables: [],
    statements: [{ type: "plain" }],
    tags: new Map(),
    digest,
  };
}

/**
 * Plans the messages of an extended query. Connections to targets are shared, so a statement that
 * is prepared there by name would be visible to other callers. Names exist only in the session:
 * each use sends the statement again as the unnamed statement.
 */
class ExtendedPlanner {
  private readonly messages: Uint8Array[] = [];
  private readonly replies: ExpectedReply[] = [];
  private readonly statements: StatementKind[] = [];
  private readonly tables = new Set<string>();
  private readonly tags = new Map<string, string>();
  private readonly portals = new Map<string, PreparedStatement>();
  private readonly hash = createHash("sha256");
  private effect: Effect = "read";
  /** The unnamed statement at the target after the messages planned so far. */
  private unnamedStatement: PreparedStatement | undefined;
  private error: CallerError | undefined;

  constructor(
    private session: Session,
    private readonly limits: SessionLimits,
  ) {}

  plan(messages: readonly Uint8Array[]): BatchPlan | RefusedBatch {
    for (const message of messages) {
      this.add(parseExtended(message));
      if (this.error !== undefined) return { type: "refused", error: this.error };
    }
    return {
      type: "planned",
      messages: Buffer.concat([...this.messages, encodeSync()]),
      replies: this.replies,
      effect: this.effect,
      tables: [...this.tables].sort(),
      statements: this.statements,
      tags: this.tags,
      digest: this.hash.digest("hex"),
    };
  }

  private add(message: ExtendedMessage): void {
    switch (message.type) {
      case "parse":
        this.addParse(message.name, message.text, message.message);
        break;
      case "bind":
        this.addBind(message.portal, message.statement, message.content);
        break;
      case "describeStatement":
        this.addDescribeStatement(message.name);
        break;
      case "closeStatement":
        this.addCloseStatement(message.name);
        break;
      case "describePortal":
      case "closePortal":
        this.addMessage(message.message, { type: message.type });
        break;
      case "execute":
        this.addExecute(message.portal, message.message);
        break;
    }
  }

  private addParse(name: string, text: string, message: Uint8Array): void {
    const statement: PreparedStatement = { ...parseTags(text), message };
    const step: SessionStep = { type: "prepare", name, statement };
    if (!this.applySessionStep(step)) return;
    this.unnamedStatement = statement;
    this.addMessage(encodeUnnamedParse(message), { type: "parse", step });
  }

  private addBind(portal: string, name: string, content: Uint8Array): void {
    const statement = this.ensureParsed(name);
    if (statement === undefined) return;
    this.portals.set(portal, statement);
    this.hash.update(statement.statement).update("\0").update(content);
    this.addMessage(encodeUnnamedBind(portal, content), { type: "bind" });
  }

  private addDescribeStatement(name: string): void {
    if (this.ensureParsed(name) === undefined) return;
    this.addMessage(encodeForUnnamedStatement("describe"), { type: "describeStatement" });
  }

  private addCloseStatement(name: string): void {
    const step: SessionStep = { type: "closeStatement", name };
    if (!this.applySessionStep(step)) return;
    this.unnamedStatement = undefined;
    this.addMessage(encodeForUnnamedStatement("close"), { type: "closeStatement", step });
  }

  private addExecute(portal: string, message: Uint8Array): void {
    const statement = this.portals.get(portal);
    const classification =
      statement === undefined ? undefined : classifyStatement(statement.statement);
    if (classification?.effect !== "read") this.effect = "write";
    for (const table of classification?.tables ?? []) this.tables.add(table);
    for (const [key, value] of statement?.tags ?? []) this.tags.set(key, value);
    const kind = classification?.statements[0] ?? { type: "plain" };
    this.statements.push(kind);
    this.addMessage(message, { type: "execute", kind });
  }

  /** Makes the statement `name` the unnamed one at the target, adding a `Parse` if necessary. */
  private ensureParsed(name: string): PreparedStatement | undefined {
    const statement = this.session.statements.get(name);
    if (statement === undefined) {
      this.setError(sqlStates.invalidStatementName, `prepared statement "${name}" does not exist`);
      return undefined;
    }
    if (this.unnamedStatement !== statement) {
      this.unnamedStatement = statement;
      this.addMessage(encodeUnnamedParse(statement.message), { type: "injectedParse" });
    }
    return statement;
  }

  private addMessage(message: Uint8Array, reply: ExpectedReply): void {
    this.messages.push(message);
    this.replies.push(reply);
  }

  private applySessionStep(step: SessionStep): boolean {
    const result = applyStep(this.session, step, this.limits);
    if (result.type === "applied") {
      this.session = result.state;
      return true;
    }
    const code =
      result.failure === "statementExists" ? sqlStates.duplicateStatement : sqlStates.outOfMemory;
    this.setError(code, `prepared statement refused: ${result.failure}`);
    return false;
  }

  private setError(code: string, message: string): void {
    this.error ??= { severity: "ERROR", code, message };
  }
}
