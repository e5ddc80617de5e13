import type { Node } from "libpg-query";
import { formatMark, formatTerm, parseTerm, type Mark, type Term } from "../../src/model/index.js";
import { SqlError } from "./error.js";
import type { Member } from "./member.js";
import {
  findCall,
  readName,
  resolveValue,
  type Result,
  type StatementContext,
} from "./sql/index.js";
import type { Field } from "./sql/index.js";
import type { StatementHistory } from "./statement.js";
import { findType, type Value } from "./value.js";

/** The state that a control function can read of the connection that calls it. */
export interface CallingConnection {
  readonly lastCommit: Mark | undefined;
}

type ControlFunction = (args: readonly Value[], caller: CallingConnection) => unknown;

const functionPrefix = "standin_";
const maxWaitMs = 60_000;

/** The control functions of a target, called as `SELECT standin_…`. They take no slot. */
export class ControlFunctions {
  private readonly functions: Readonly<Record<string, ControlFunction>>;

  constructor(
    private readonly member: Member,
    history: StatementHistory,
    additionalFunctions: Readonly<Record<string, ControlFunction>>,
  ) {
    this.functions = {
      status: (args) => this.waitForStatus(args),
      fence: ([term]) => member.fence(readTerm(term)),
      promote: ([term]) => member.promote(readTerm(term)),
      follow: (args) => this.follow(args),
      lineage: ([term]) => this.getLineage(readTerm(term)),
      records: (args) => this.listRecords(args),
      mark: (_, caller) => (caller.lastCommit === undefined ? null : formatMark(caller.lastCommit)),
      statements: ([part]) => history.list(String(part ?? "")),
      ...additionalFunctions,
    };
  }

  /** Runs a control function; undefined when the statement doesn't call one. */
  async run(
    node: Node,
    context: StatementContext,
    caller: CallingConnection,
  ): Promise<Result | undefined> {
    const call = findCall(node);
    const name = readName(call?.funcname);
    if (!name.startsWith(functionPrefix)) return undefined;
    const run = this.functions[name.slice(functionPrefix.length)];
    if (run === undefined) throw new SqlError("42883", `function ${name} does not exist`);
    const scope = { context, columns: [], alias: "", row: [] };
    const args = (call?.args ?? []).map((a) => resolveValue(a, scope));
    const answer = await run(args, caller);
    const rows = (Array.isArray(answer) ? answer : [answer]).map((a) => [formatAnswer(a)]);
    return { fields: buildFields(name), rows, tag: `SELECT ${rows.length}` };
  }

  /** Describes a control function's result; undefined when the statement doesn't call one. */
  describe(node: Node): readonly Field[] | undefined {
    const name = readName(findCall(node)?.funcname);
    return name.startsWith(functionPrefix) ? buildFields(name) : undefined;
  }

  /** `standin_status([mark, fenced_at, wait_ms])`: waits until the mark or fence differs. */
  private async waitForStatus([mark, fencedAt, waitMs]: readonly Value[]): Promise<unknown> {
    if (mark !== undefined) {
      await this.waitUntil(
        () => {
          const { status } = this.member;
          return formatMark(status.mark) !== mark || formatTerm(status.fencedAt) !== fencedAt;
        },
        Number(waitMs ?? 0),
      );
    }
    return this.member.status;
  }

  /** `standin_follow(term, name, host, port)`. */
  private follow([term, name, host, port]: readonly Value[]): unknown {
    const address = { host: String(host), port: Number(port) };
    return this.member.follow({ name: String(name), address, term: readTerm(term) });
  }

  private getLineage(term: Term): unknown {
    this.checkPrimary(term);
    const { lineage, offset } = this.member.log;
    return { lineage, offset };
  }

  /** `standin_records(term, offset, limit, wait_ms)`: waits for records after `offset`. */
  private async listRecords([text, after, limit, waitMs]: readonly Value[]): Promise<unknown> {
    const term = readTerm(text);
    const offset = Number(after);
    const isReady = () => !this.member.isPrimaryIn(term) || this.member.log.offset > offset;
    await this.waitUntil(isReady, Number(waitMs ?? 0));
    this.checkPrimary(term);
    return this.member.log.list(offset, Number(limit));
  }

  private checkPrimary(term: Term): void {
    if (this.member.isPrimaryIn(term)) return;
    throw new SqlError("55000", `${this.member.name} is not primary in term ${formatTerm(term)}`);
  }

  private async waitUntil(isMet: () => boolean, waitMs: number): Promise<void> {
    if (isMet()) return;
    await new Promise<void>((resolve) => {
      const end = () => {
        clearTimeout(timer);
        unsubscribe();
        resolve();
      };
      const timer = setTimeout(end, Math.min(waitMs, maxWaitMs)).unref();
      const unsubscribe = this.member.subscribe(() => {
        if (isMet()) end();
      });
    });
  }
}

function readTerm(value: Value | undefined): Term {
  const term = typeof value === "string" ? parseTerm(value) : undefined;
  if (term === undefined) throw new SqlError("22023", `invalid term: ${String(value)}`);
  return term;
}

function formatAnswer(answer: unknown): Value {
  return answer === null || typeof answer === "string" ? answer : JSON.stringify(answer);
}

function buildFields(name: string): readonly Field[] {
  return [{ name, type: findType("text") }];
}
