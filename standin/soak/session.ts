import { setTimeout as sleep } from "node:timers/promises";
import type { Proxy } from "../../src/proxy/index.js";
import { Caller, type StatementOutcome, type Statement } from "./caller.js";
import type { RandomStream } from "./random.js";
import type { SoakContext } from "./context.js";

/** Name, group and team of a session. */
export interface SessionOptions {
  readonly name: string;
  readonly group: string;
  readonly team: string;
  /** Whether it presents its session token when it reconnects. */
  readonly hasToken: boolean;
}

const connectTries = 200;
const connectPauseMs = 100;
const reconnectProbability = 0.12;

/**
 * A session that reconnects to random proxies. Records the outcome of each statement in the trace and
 * the counts.
 */
export class Session {
  private caller: Caller | undefined;
  private proxy: Proxy | undefined;
  private token: string | undefined;

  constructor(
    readonly options: SessionOptions,
    private readonly context: SoakContext,
    private readonly random: RandomStream,
  ) {}

  /** Runs a statement, with a certain probability on a new connection to a randomly chosen proxy. */
  async runStatement(operation: string, statement: Statement): Promise<StatementOutcome> {
    if (this.random.chance(reconnectProbability)) await this.leaveProxy();
    return this.runOn(await this.connect(), operation, statement);
  }

  /** Runs a statement on the connection of the previous one, as a transaction requires. */
  runOnSameConnection(operation: string, statement: Statement): Promise<StatementOutcome> {
    if (this.caller?.isUsable !== true) {
      return Promise.resolve({ type: "notRun", reason: "never sent: the connection is closed" });
    }
    return this.runOn(this.caller, operation, statement);
  }

  /** Closes the connection; the next statement connects to a randomly chosen proxy. */
  async leaveProxy(): Promise<void> {
    const { caller } = this;
    this.caller = undefined;
    await caller?.end();
  }

  /** Closes the connection with its transaction open, as a crashing caller does. */
  abort(): void {
    this.context.trace.record(this.options.name, "drops its connection");
    this.caller?.destroy();
    this.caller = undefined;
  }

  private async runOn(
    caller: Caller,
    operation: string,
    statement: Statement,
  ): Promise<StatementOutcome> {
    const { trace, counts } = this.context;
    const { name } = this.options;
    trace.record(
      name,
      `sends to ${this.describeProxy()}: ${statement.text} ${describeValues(statement)}`,
    );
    const outcome = await caller.runStatement(statement);
    this.token = caller.token ?? this.token;
    counts.add("operations", operation);
    counts.add("heard", outcome.type);
    if (outcome.type === "mayHaveRun" || outcome.type === "broken")
      counts.add("unknown", operation);
    if (outcome.type === "failed") counts.add("sqlStates", `${operation} ${outcome.code}`);
    trace.record(name, `receives ${describeOutcome(outcome)}`);
    if (outcome.type === "broken") this.checkDrain(statement, outcome.reason);
    return outcome;
  }

  private async connect(): Promise<Caller> {
    if (this.caller?.isUsable === true) return this.caller;
    for (let i = 0; i < connectTries; i += 1) {
      const caller = await this.tryConnect();
      if (caller !== undefined) return caller;
      await sleep(connectPauseMs);
    }
    throw new Error(
      `session ${this.options.name} could not connect to a proxy in ${connectTries} tries`,
    );
  }

  private async tryConnect(): Promise<Caller | undefined> {
    const { group, team, hasToken, name } = this.options;
    const member = this.random.pick(this.context.fleet.members);
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

  private checkDrain(statement: Statement, reason: string): void {
    const { drained, reportBreach } = this.context;
    if (this.proxy === undefined || !drained.has(this.proxy)) return;
    reportBreach(`a drain interrupted: ${statement.text} (${reason})`, [this.options.name]);
  }

  private describeProxy(): string {
    const found = this.context.fleet.members.find((m) => m.proxy === this.proxy);
    return found?.vm.name ?? "a proxy that was replaced";
  }
}

function describeValues({ values }: Statement): string {
  return values === undefined ? "" : JSON.stringify(values);
}

function describeOutcome(outcome: StatementOutcome): string {
  switch (outcome.type) {
    case "answered":
      return `${outcome.tag}, ${outcome.rows.length} rows`;
    case "notRun":
    case "mayHaveRun":
    case "broken":
    case "failed":
      return `${outcome.type}: ${outcome.reason}`;
  }
}
