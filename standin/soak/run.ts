import { setTimeout as sleep } from "node:timers/promises";
import type { Proxy } from "../../src/proxy/index.js";
import { startFleet, type Fleet } from "../fleet.js";
import { startFault, getAffectedName, listTargets, setLags } from "./apply.js";
import { Caller } from "./caller.js";
import type { SoakContext } from "./context.js";
import { Counts, type CountTable } from "./counts.js";
import { Ledger, type Breach } from "./ledger.js";
import { Operators } from "./operators.js";
import { describeFault, planRound, type Fault, type PlannedFault, type RoundPlan } from "./plan.js";
import { createRandomStream } from "./random.js";
import { Session, type SessionOptions } from "./session.js";
import { createTraceLogger, formatTrace, Trace } from "./trace.js";
import { recordStatements, verifyTable, waitUntilConverged } from "./verify.js";
import { Worker } from "./work.js";

/** The seed, the length and the faults of a run. */
export interface SoakOptions {
  readonly seed: number;
  /** Whether to start another round; gets the number of completed rounds. */
  readonly shouldContinue: (rounds: number) => boolean;
  /** The types of faults to choose from; all by default. */
  readonly faults?: readonly Fault["type"][];
  /** By default 2 for even seeds and 1 for odd ones. */
  readonly groups?: number;
  /** Includes the log lines of the proxies in the trace. */
  readonly logs?: boolean;
  /** Called with a line of text after each round. */
  readonly onRound?: (line: string) => void;
}

/** The result of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly rounds: number;
  readonly breaches: readonly string[];
  readonly counts: CountTable;
  /** The trace lines of the first breaches; empty when there is none. */
  readonly trace: string;
}

const sessionCount = 10;
const vmCount = 3;
const progressTries = 60;
const progressPauseMs = 500;
const maxTracedBreaches = 3;
const setupTries = 30;
const teams = ["ferrante", "school"] as const;

/**
 * Runs rounds of faults under load and, after each round, compares the stored data with what callers
 * were told. Stops after the first round with a breach.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, groups: groupCount = seed % 2 === 0 ? 2 : 1 } = options;
  const trace = new Trace();
  const groups = Array.from({ length: groupCount }, (_, i) => `group-${i + 1}`);
  const fleet = await startFleet({
    vms: vmCount,
    groups: groups.map((name) => ({ name })),
    ...(options.logs === true ? { logger: createTraceLogger(trace) } : {}),
    configuration: {
      teams: [
        { name: "ferrante", plan: "paying" },
        { name: "school", plan: "trial" },
      ],
      rules: [browseRule],
    },
  });
  const soak = new Soak(fleet, groups, options, trace);
  try {
    return await soak.run();
  } finally {
    soak.dispose();
    await fleet.dispose();
  }
}

const browseRule = {
  name: "browse",
  when: { kinds: ["browse"] },
  then: {
    type: "serve",
    route: { type: "stale", maxAgeMs: 2000 },
    priority: "browsing",
    deadlineMs: 2000,
    maxQueueMs: 500,
    retry: { attempts: 1 },
    acknowledgement: "replicated",
  },
} as const;

class Soak {
  private readonly context: SoakContext;
  private readonly operators: Operators;
  private readonly sessions: readonly Session[];
  private readonly breaches: Breach[] = [];
  private readonly drained = new Set<Proxy>();
  private readonly active = new Set<string>();

  constructor(
    private readonly fleet: Fleet,
    private readonly groups: readonly string[],
    private readonly options: SoakOptions,
    trace: Trace,
  ) {
    const [ledger, counts] = [new Ledger(), new Counts()];
    const reportBreach: SoakContext["reportBreach"] = (description, subjects = ["check"]) => {
      this.breaches.push({ description, subjects });
      trace.record("check", description);
    };
    this.context = { fleet, ledger, trace, counts, drained: this.drained, reportBreach };
    this.operators = new Operators(this.context);
    this.sessions = Array.from({ length: sessionCount }, (_, i) => {
      const random = createRandomStream(options.seed, i + 1);
      return new Session(this.describeSession(i), this.context, random);
    });
  }

  dispose(): void {
    this.operators.dispose();
  }

  async run(): Promise<SoakReport> {
    let rounds = 0;
    while (this.breaches.length === 0 && this.options.shouldContinue(rounds)) {
      await this.runRound(rounds);
      rounds += 1;
    }
    return this.report(rounds);
  }

  private async runRound(round: number): Promise<void> {
    const { seed, onRound } = this.options;
    const targets = listTargets(this.fleet).length;
    const plan = planRound(
      seed,
      round,
      { groups: this.groups.length, targets, vms: vmCount },
      this.options.faults,
    );
    const faultText = plan.faults.map((f) => describeFault(f.fault)).join(" + ");
    this.context.trace.clear();
    this.context.trace.record(
      "fault",
      `round ${round}, lags ${plan.lagMs.join(" ")} ms: ${faultText}`,
    );
    setLags(this.fleet, plan.lagMs);
    const table = `booking_${round}`;
    await Promise.all(this.groups.map((g) => this.createTable(g, table)));
    await this.runSessions(plan, round, table);
    const faultsEndedAt = Date.now();
    await this.checkProgress(table);
    await this.operators.checkRollout();
    await this.verify(round);
    const tookMs = Date.now() - faultsEndedAt;
    onRound?.(`round ${round}: ${faultText}; settled in ${tookMs} ms`);
  }

  /** Runs sessions, operators and faults concurrently; all faults have ended when it resolves. */
  private async runSessions(plan: RoundPlan, round: number, table: string): Promise<void> {
    const { seed } = this.options;
    let isOver = false;
    const streams = (round + 1) * 1000;
    const work = this.sessions.map((session, i) =>
      new Worker(session, this.context, createRandomStream(seed, streams + i + 1), table).run(
        () => isOver,
      ),
    );
    const edits = this.operators.editRules(createRandomStream(seed, streams + sessionCount + 1));
    await Promise.all([...plan.faults.map((f) => this.runFault(f)), sleep(plan.workMs)]);
    this.context.trace.record("fault", "all faults ended");
    isOver = true;
    await Promise.all([...work, edits]);
  }

  private async runFault({ fault, fromMs, toMs }: PlannedFault): Promise<void> {
    const { trace, counts } = this.context;
    const text = describeFault(fault);
    await sleep(fromMs);
    const affected = getAffectedName(this.fleet, fault);
    const key = `${fault.type} ${affected}`;
    // A fault that is already active on the same target, proxy or platform is not injected again.
    if (this.active.has(key)) return;
    this.active.add(key);
    counts.add("faults", fault.type);
    trace.record("fault", `begins at ${affected}: ${text}`);
    const member = "vm" in fault ? this.fleet.members[fault.vm] : undefined;
    if (fault.type === "drainProxy" && member !== undefined) this.drained.add(member.proxy);
    if (fault.type === "killProxy" && member !== undefined) this.drained.delete(member.proxy);
    const end = await startFault(this.fleet, fault);
    await sleep(toMs - fromMs);
    await end();
    this.active.delete(key);
    trace.record("fault", `ended at ${affected}: ${text}`);
  }

  private async createTable(group: string, table: string): Promise<void> {
    const text = `CREATE TABLE IF NOT EXISTS ${table} (id text, session text, confirmed int)`;
    if (await this.repeat(group, text, setupTries)) return;
    this.context.reportBreach(`no table could be created in ${group} without faults`);
  }

  /** Checks that after the faults a write succeeds in each group within `progressTries` tries. */
  private async checkProgress(table: string): Promise<void> {
    for (const group of this.groups) {
      const text = `UPDATE ${table} SET confirmed = confirmed WHERE id = 'none'`;
      if (await this.repeat(group, text, progressTries)) continue;
      this.context.reportBreach(`no write succeeds in ${group} after the faults ended`);
    }
  }

  /** Repeats an idempotent statement on each proxy until it succeeds; false when one never did. */
  private async repeat(group: string, text: string, tries: number): Promise<boolean> {
    const results = await Promise.all(
      this.fleet.members.map((_, i) => this.repeatOn(i, group, text, tries)),
    );
    return results.every((isAnswered) => isAnswered);
  }

  private async repeatOn(i: number, group: string, text: string, tries: number): Promise<boolean> {
    for (let n = 0; n < tries; n += 1) {
      const reason = await this.tryOn(i, group, text);
      if (reason === undefined) return true;
      this.context.trace.record("check", `vm-${i + 1}, ${group}: ${text}: ${reason}`);
      await sleep(progressPauseMs);
    }
    return false;
  }

  /** Runs a statement once; returns why it failed, or undefined when it succeeded. */
  private async tryOn(i: number, group: string, text: string): Promise<string | undefined> {
    const member = this.fleet.members[i];
    if (member === undefined) return `no member with index ${i}`;
    try {
      const caller = await Caller.connect(member.callers, { group, team: "ferrante" });
      const outcome = await caller.runStatement({ text });
      await caller.end();
      return outcome.type === "answered" ? undefined : `${outcome.type}: ${outcome.reason}`;
    } catch (error) {
      return String(error);
    }
  }

  /** Checks the tables of this and of all earlier rounds, as their rows must not change any more. */
  private async verify(round: number): Promise<void> {
    for (const group of this.fleet.cluster.groups) {
      const primary = await waitUntilConverged(group, this.context);
      for (let n = 0; n <= round; n += 1) {
        await verifyTable(group.name, primary, `booking_${n}`, this.context);
      }
    }
    for (const violation of this.fleet.violations) {
      this.context.reportBreach(`violated invariant: ${violation}`);
    }
  }

  private describeSession(i: number): SessionOptions {
    const group = this.groups[i % this.groups.length] ?? "";
    const team = teams[i % 5 === 4 ? 1 : 0];
    return { name: `s${i}`, group, team, hasToken: i % 3 !== 0 };
  }

  private report(rounds: number): SoakReport {
    const { counts, trace } = this.context;
    const tracedBreaches = this.breaches.slice(0, maxTracedBreaches);
    const subjects = [...new Set(tracedBreaches.flatMap((b) => b.subjects))];
    for (const subject of subjects) recordStatements(subject, this.context);
    return {
      seed: this.options.seed,
      rounds,
      breaches: this.breaches.map((b) => b.description),
      counts: counts.list(),
      trace: tracedBreaches.length === 0 ? "" : formatTrace(trace.list(subjects)),
    };
  }
}
