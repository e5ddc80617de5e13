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

/** What a control function may ask of the connection that calls it. */
export interface CallingConnection {
  readonly lastCommit: Mark | undefined;
}

type Call = (args: readonly Value[], caller: CallingConnection) => unknown;

const prefix = "standin_";
const maxWaitMs = 60_000;

/** The control functions of a target, `SELECT standin_…`. They take no slot. */
export class ControlFunctions {
  private readonly calls: Readonly<Record<string, Call>>;

  constructor(
    private readonly member: Member,
    record: StatementHistory,
    extra: Readonly<Record<string, Call>>,
  ) {
    this.calls = {
      status: (args) => this.waitStatus(args),
      fence: ([term]) => member.fence(readTerm(term)),
      promote: ([term]) => member.promote(readTerm(term)),
      follow: (args) => this.follow(args),
      lineage: ([term]) => this.tellLineage(readTerm(term)),
      records: (args) => this.listRecords(args),
      mark: (_, caller) => (caller.lastCommit === undefined ? null : formatMark(caller.lastCommit)),
      statements: ([part]) => record.list(String(part ?? "")),
      ...extra,
    };
  }

  /** Runs a control function; undefined when the statement is none. */
  async run(node: Node, context: StatementContext, caller: CallingConnection): Promise<Result | undefined> {
    const call = findCall(node);
    const name = readName(call?.funcname);
    if (!name.startsWith(prefix)) return undefined;
    const run = this.calls[name.slice(prefix.length)];
    if (run === undefined) throw new SqlError("42883", `function ${name} does not exist`);
    const scope = { context, columns: [], alias: "", row: [] };
    const args = (call?.args ?? []).map((a) => resolveValue(a, scope));
    const answer = await run(args, caller);
    const rows = (Array.isArray(answer) ? answer : [answer]).map((a) => [writeAnswer(a)]);
    return { fields: makeFields(name), rows, tag: `SELECT ${rows.length}` };
  }

  /** Describes a control function's answer; undefined when the statement is none. */
  describe(node: Node): readonly Field[] | undefined {
    const name = readName(findCall(node)?.funcname);
    return name.startsWith(prefix) ? makeFields(name) : undefined;
  }

  /** `standin_status([mark, fenced_at, wait_ms])`: waits until one of them differs. */
  private async waitStatus([mark, fencedAt, waitMs]: readonly Value[]): Promise<unknown> {
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

  private tellLineage(term: Term): unknown {
    this.checkPrimary(term);
    const { lineage, offset } = this.member.log;
    return { lineage, offset };
  }

  /** `standin_records(term, offset, limit, wait_ms)`: waits until there are records after it. */
  private async listRecords([text, after, limit, waitMs]: readonly Value[]): Promise<unknown> {
    const term = readTerm(text);
    const offset = Number(after);
    const hasNews = () => !this.member.isPrimaryIn(term) || this.member.log.offset > offset;
    await this.waitUntil(hasNews, Number(waitMs ?? 0));
    this.checkPrimary(term);
    return this.member.log.list(offset, Number(limit));
  }

  private checkPrimary(term: Term): void {
    if (this.member.isPrimaryIn(term)) return;
    throw new SqlError("55000", `${this.member.name} is no primary in term ${formatTerm(term)}`);
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
  if (term === undefined) throw new SqlError("22023", `not a term: ${String(value)}`);
  return term;
}

function writeAnswer(answer: unknown): Value {
  return answer === null || typeof answer === "string" ? answer : JSON.stringify(answer);
}

function makeFields(name: string): readonly Field[] {
  return [{ name, type: findType("text") }];
}
