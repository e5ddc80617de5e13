import { setTimeout as sleep } from "node:timers/promises";
import type { Proxy } from "../../src/proxy/index.js";
import { Caller, type StatementOutcome, type Statement } from "./caller.js";
import type { RandomStream } from "./random.js";
import type { SoakContext } from "./context.js";

/** Who a session is. */
export interface SessionOptions {
  readonly name: string;
  readonly group: string;
  readonly team: string;
  /** Whether it takes its token along when it moves. */
  readonly hasToken: boolean;
}

const connectTries = 200;
const connectPauseMs = 100;
const moveShare = 0.12;

/** A session that moves between proxies; it hears what its statements came to. */
export class Session {
  private caller: Caller | undefined;
  private proxy: Proxy | undefined;
  private token: string | undefined;

  constructor(
    readonly options: SessionOptions,
    private readonly context: SoakContext,
    private readonly draw: RandomStream,
  ) {}

  /** Runs one statement where the session is, or at another proxy when it moves. */
  async runStatement(operation: string, statement: Statement): Promise<StatementOutcome> {
    if (this.draw.chance(moveShare)) await this.leaveProxy();
    return this.askOn(await this.connect(), operation, statement);
  }

  /** Runs one statement on the connection of the one before, as a transaction must. */
  runOnSameConnection(operation: string, statement: Statement): Promise<StatementOutcome> {
    if (this.caller?.isUsable !== true) {
      return Promise.resolve({ type: "notRun", why: "never sent: the connection is gone" });
    }
    return this.askOn(this.caller, operation, statement);
  }

  /** Leaves the proxy; the next statement goes to another. */
  async leaveProxy(): Promise<void> {
    const { caller } = this;
    this.caller = undefined;
    await caller?.end();
  }

  /** Dies with whatever is open, as a caller that crashes does. */
  abort(): void {
    this.context.trace.record(this.options.name, "drops its connection");
    this.caller?.destroy();
    this.caller = undefined;
  }

  private async askOn(
    caller: Caller,
    operation: string,
    statement: Statement,
  ): Promise<StatementOutcome> {
    const { trace, counts } = this.context;
    const { name } = this.options;
    trace.record(
      name,
      `asks ${this.describePlace()}: ${statement.text} ${describeValues(statement)}`,
    );
    const heard = await caller.runStatement(statement);
    this.token = caller.token ?? this.token;
    counts.add("operations", operation);
    counts.add("heard", heard.type);
    if (heard.type === "mayHaveRun" || heard.type === "broken") counts.add("unknown", operation);
    if (heard.type === "failed") counts.add("sqlStates", `${operation} ${heard.code}`);
    trace.record(name, `hears ${describeHeard(heard)}`);
    if (heard.type === "broken") this.checkDrain(statement, heard.why);
    return heard;
  }

  private async connect(): Promise<Caller> {
    if (this.caller?.isUsable === true) return this.caller;
    for (let i = 0; i < connectTries; i += 1) {
      const caller = await this.tryConnect();
      if (caller !== undefined) return caller;
      await sleep(connectPauseMs);
    }
    throw new Error(`${this.options.name} found no proxy`);
  }

  private async tryConnect(): Promise<Caller | undefined> {
    const { group, team, hasToken, name } = this.options;
    const member = this.draw.pick(this.context.fleet.members);
    const { proxy, callers } = member;
    const token = hasToken ? this.token : undefined;
    try {
      const options = { group, team, ...(token === undefined ? {} : { token }) };
      this.caller = await Caller.connect(callers, options);
      this.proxy = proxy;
      this.context.trace.record(name, `connects to ${member.vm.name}`);
      return this.caller;
    } catch {
      return undefined;
    }
  }

  private checkDrain(statement: Statement, why: string): void {
    const { drained, reportBreach: breach } = this.context;
    if (this.proxy === undefined || !drained.has(this.proxy)) return;
    breach({
      description: `a drain cut off: ${statement.text} (${why})`,
      subjects: [this.options.name],
    });
  }

  private describePlace(): string {
    const found = this.context.fleet.members.find((m) => m.proxy === this.proxy);
    return found?.vm.name ?? "a proxy that is gone";
  }
}

function describeValues({ values }: Statement): string {
  return values === undefined ? "" : JSON.stringify(values);
}

function describeHeard(heard: StatementOutcome): string {
  switch (heard.type) {
    case "answered":
      return `${heard.tag}, ${heard.rows.length} rows`;
    case "notRun":
    case "mayHaveRun":
    case "broken":
    case "failed":
      return `${heard.type}: ${heard.why}`;
  }
}
