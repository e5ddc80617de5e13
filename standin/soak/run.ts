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

/** How long a run lasts and what it draws from. */
export interface SoakOptions {
  readonly seed: number;
  /** Whether another round begins, by the rounds done. */
  readonly shouldContinue: (rounds: number) => boolean;
  /** Draws just these sorts of faults; all by default. */
  readonly faults?: readonly Fault["type"][];
  readonly groups?: number;
  /** Takes the proxies' log lines into the trace, for finding a cause. */
  readonly logs?: boolean;
  /** Hears of each round. */
  readonly onRound?: (line: string) => void;
}

/** What a run came to. */
export interface SoakReport {
  readonly seed: number;
  readonly rounds: number;
  readonly breaches: readonly string[];
  readonly counts: CountTable;
  /** Of the first breaches; empty when there is none. */
  readonly trace: string;
}

const sessionCount = 10;
const vmCount = 3;
const progressTries = 60;
const progressPauseMs = 500;
const maxTraced = 3;
const setupTries = 30;
const teams = ["ferrante", "school"] as const;

/** Runs rounds of faults under load, and checks after each what the targets hold. */
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
    const breach = (found: Breach) => {
      this.breaches.push(found);
      trace.record("check", found.description);
    };
    this.context = { fleet, ledger, trace, counts, drained: this.drained, reportBreach: breach };
    this.operators = new Operators(this.context);
    this.sessions = Array.from({ length: sessionCount }, (_, i) => {
      const draw = createRandomStream(options.seed, i + 1);
      return new Session(this.describeSession(i), this.context, draw);
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
    const said = plan.faults.map((f) => describeFault(f.fault)).join(" + ");
    this.context.trace.clear();
    this.context.trace.record("fault", `round ${round}, lags ${plan.lagMs.join(" ")} ms: ${said}`);
    setLags(this.fleet, plan.lagMs);
    const table = `booking_${round}`;
    await Promise.all(this.groups.map((g) => this.createTable(g, table)));
    await this.workThrough(plan, round, table);
    const healedAt = Date.now();
    await this.checkProgress(table);
    await this.operators.checkRollout();
    await this.verify(round);
    const tookMs = Date.now() - healedAt;
    onRound?.(`round ${round}: ${said}; settled in ${tookMs} ms`);
  }

  /** Sessions, operators and faults at once; all faults are over when it resolves. */
  private async workThrough(plan: RoundPlan, round: number, table: string): Promise<void> {
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
    this.context.trace.record("fault", "all healed");
    isOver = true;
    await Promise.all([...work, edits]);
  }

  private async runFault({ fault, fromMs, toMs }: PlannedFault): Promise<void> {
    const { trace, counts } = this.context;
    const text = describeFault(fault);
    await sleep(fromMs);
    const struck = getAffectedName(this.fleet, fault);
    const key = `${fault.type} ${struck}`;
    // The same fault twice on the same place at once is one fault.
    if (this.active.has(key)) return;
    this.active.add(key);
    counts.add("faults", fault.type);
    trace.record("fault", `begins at ${struck}: ${text}`);
    const member = "vm" in fault ? this.fleet.members[fault.vm] : undefined;
    if (fault.type === "drainProxy" && member !== undefined) this.drained.add(member.proxy);
    if (fault.type === "killProxy" && member !== undefined) this.drained.delete(member.proxy);
    const end = await startFault(this.fleet, fault);
    await sleep(toMs - fromMs);
    await end();
    this.active.delete(key);
    trace.record("fault", `ended at ${struck}: ${text}`);
  }

  private async createTable(group: string, table: string): Promise<void> {
    const text = `CREATE TABLE IF NOT EXISTS ${table} (id text, session text, confirmed int)`;
    if (await this.repeat(group, text, setupTries)) return;
    this.context.reportBreach({
      description: `${group} took no table while whole`,
      subjects: ["check"],
    });
  }

  /** After healing a write lands at each group within a bounded number of tries. */
  private async checkProgress(table: string): Promise<void> {
    for (const group of this.groups) {
      const text = `UPDATE ${table} SET confirmed = confirmed WHERE id = 'none'`;
      if (await this.repeat(group, text, progressTries)) continue;
      this.context.reportBreach({
        description: `no write lands at ${group} after healing`,
        subjects: ["check"],
      });
    }
  }

  /** Runs an idempotent statement at each proxy until it is answered; tells whether all did. */
  private async repeat(group: string, text: string, tries: number): Promise<boolean> {
    const results = await Promise.all(
      this.fleet.members.map((_, i) => this.repeatAt(i, group, text, tries)),
    );
    return results.every((isAnswered) => isAnswered);
  }

  private async repeatAt(i: number, group: string, text: string, tries: number): Promise<boolean> {
    for (let n = 0; n < tries; n += 1) {
      const why = await this.tryAt(i, group, text);
      if (why === undefined) return true;
      this.context.trace.record("check", `vm-${i + 1}, ${group}: ${text}: ${why}`);
      await sleep(progressPauseMs);
    }
    return false;
  }

  /** Why a statement was not answered; undefined when it was. */
  private async tryAt(i: number, group: string, text: string): Promise<string | undefined> {
    const member = this.fleet.members[i];
    if (member === undefined) return "no such VM";
    try {
      const caller = await Caller.connect(member.callers, { group, team: "ferrante" });
      const heard = await caller.runStatement({ text });
      await caller.end();
      return heard.type === "answered" ? undefined : `${heard.type}: ${heard.why}`;
    } catch (error) {
      return String(error);
    }
  }

  /** What earlier rounds wrote must stay: every table is checked again. */
  private async verify(round: number): Promise<void> {
    for (const group of this.fleet.cluster.groups) {
      const primary = await waitUntilConverged(group, this.context);
      for (let n = 0; n <= round; n += 1) {
        await verifyTable(group.name, primary, `booking_${n}`, this.context);
      }
    }
    for (const what of this.fleet.violations) {
      this.context.reportBreach({ description: `invariant: ${what}`, subjects: ["check"] });
    }
  }

  private describeSession(i: number): SessionOptions {
    const group = this.groups[i % this.groups.length] ?? "";
    const team = teams[i % 5 === 4 ? 1 : 0];
    return { name: `s${i}`, group, team, hasToken: i % 3 !== 0 };
  }

  private report(rounds: number): SoakReport {
    const { counts, trace } = this.context;
    const traced = this.breaches.slice(0, maxTraced);
    const parts = [...new Set(traced.flatMap((b) => b.subjects))];
    for (const part of parts) recordStatements(part, this.context);
    return {
      seed: this.options.seed,
      rounds,
      breaches: this.breaches.map((b) => b.description),
      counts: counts.list(),
      trace: traced.length === 0 ? "" : formatTrace(trace.list(parts)),
    };
  }
}
