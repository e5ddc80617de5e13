import { appendFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "@jest/globals";
import type pg from "pg";
import { orderOwners } from "../../src/policy/index.js";
import { startFleet, type Fleet, type FleetMember } from "../../standin/fleet.js";
import type { FaultyLink } from "../../standin/link.js";
import type { StandinTarget } from "../../standin/target/index.js";
import { runStatement, connectCaller, type StatementOutcome } from "./caller.js";

/** A fleet of three proxies and one group, with the parts that faults affect. */
export interface FaultScenario {
  readonly fleet: Fleet;
  readonly primary: StandinTarget;
  readonly primaryLink: FaultyLink;
  readonly owner: FleetMember;
  /** The proxy that the caller is connected to; not the owner. */
  readonly entry: FleetMember;
  /** A proxy that no fault affects. */
  readonly other: FleetMember;
}

/** Injects a fault. */
export type FaultInjector = (scenario: FaultScenario) => void | Promise<void>;

export const faults: Readonly<Record<string, FaultInjector>> = {
  "kill the primary": ({ primary }) => primary.kill(),
  "freeze the primary, resume": ({ primary }) => {
    primary.faults.running.close();
    setTimeout(() => {
      primary.faults.running.open();
    }, 1500).unref();
  },
  "cut owner to primary": ({ primaryLink }) => {
    primaryLink.setFlow("hold", "pass");
  },
  "cut primary to owner": ({ primaryLink }) => {
    primaryLink.setFlow("pass", "hold");
  },
  "cut owner and primary": ({ primaryLink }) => {
    primaryLink.setFlow("hold", "hold");
  },
  "silent connections to the primary": ({ primaryLink }) => {
    primaryLink.stallAll();
  },
  "slow primary": ({ primary }) => {
    primary.faults.slowFactor = 50;
  },
  "commit's answer lost": ({ primary }) => {
    primary.faults.loseCommitAnswers(1, "break");
  },
  "commit's answer silent": ({ primary }) => {
    primary.faults.loseCommitAnswers(1, "silence");
  },
  "kill the owner": ({ owner }) => owner.kill(),
  "cut entry to owner": ({ owner }) => {
    owner.link.setFlow("hold", "pass");
  },
  "cut owner to entry": ({ owner }) => {
    owner.link.setFlow("pass", "hold");
  },
  "silent connections to the owner": ({ owner }) => {
    owner.link.stallAll();
  },
  "kill the entry": ({ entry }) => entry.kill(),
  "store down": ({ fleet }) => {
    fleet.cluster.platform.setDown(true);
  },
  "kill the primary, store down": async ({ primary, fleet }) => {
    fleet.cluster.platform.setDown(true);
    await primary.kill();
  },
  "kill the owner and the primary": async ({ primary, owner }) => {
    await Promise.all([owner.kill(), primary.kill()]);
  },
  "cut the primary off, store down": ({ primaryLink, fleet }) => {
    fleet.cluster.platform.setDown(true);
    primaryLink.setFlow("hold", "hold");
  },
};

const deadline = "2500ms";
const rowId = 7;

async function startScenario(): Promise<FaultScenario> {
  const fleet = await startFleet({
    groups: [{ name: "ledger", lagMs: 20, connectMs: 2 }],
    configuration: {
      teams: [{ name: "ferrante", plan: "paying" }],
      rules: [
        {
          name: "all",
          when: {},
          then: {
            type: "serve",
            route: { type: "primary" },
            priority: "critical",
            deadlineMs: parseInt(deadline, 10),
            maxQueueMs: parseInt(deadline, 10),
            retry: { attempts: 5 },
            acknowledgement: "replicated",
          },
        },
      ],
    },
  });
  const [first] = orderOwners(
    "ledger",
    fleet.members.map((m) => m.vm),
  );
  const owner = fleet.members.find((m) => m.vm.name === first?.name);
  const [entry, other] = fleet.members.filter((m) => m !== owner);
  const primary = fleet.cluster.groups[0]?.targets[0];
  const primaryLink = primary && fleet.targetLinks.get(primary.name);
  if (!owner || !entry || !other || !primary || !primaryLink)
    throw new Error("the fleet lacks an owner, another proxy, a primary or its link");
  return { fleet, primary, primaryLink, owner, entry, other };
}

/** Ends the faults and restarts a killed primary. Killed proxies and stalled connections stay as they are. */
async function endFaults({ fleet, primary, primaryLink, owner }: FaultScenario): Promise<void> {
  fleet.cluster.platform.setDown(false);
  primary.faults.endAll();
  primaryLink.clearFaults();
  owner.link.clearFaults();
  await primary.start().catch(() => undefined);
}

/** How a write is sent and when the fault is injected. */
export interface Step {
  readonly name: string;
  readonly isKeyed: boolean;
  run(
    scenario: FaultScenario,
    client: pg.Client,
    inject: () => Promise<void>,
  ): Promise<StatementOutcome>;
}

function buildInsert(isKeyed: boolean): string {
  const tag = isKeyed ? "/* kind='reservation',idempotency_key='seat-7' */ " : "";
  return `${tag}INSERT INTO seat VALUES (${rowId}, 'Ana')`;
}

async function injectDuring(
  client: pg.Client,
  sql: string,
  afterMs: number,
  inject: () => Promise<void>,
): Promise<StatementOutcome> {
  const running = runStatement(client, sql);
  await sleep(afterMs);
  await inject();
  return running;
}

function buildSteps(isKeyed: boolean): readonly Step[] {
  const sql = buildInsert(isKeyed);
  const label = isKeyed ? "keyed" : "unkeyed";
  return [
    {
      name: `${label}, before it is sent`,
      isKeyed,
      run: async (_, client, inject) => {
        await inject();
        return runStatement(client, sql);
      },
    },
    {
      name: `${label}, while it runs`,
      isKeyed,
      run: (scenario, client, inject) => {
        scenario.primary.faults.slowFactor = 150;
        return injectDuring(client, sql, 60, inject);
      },
    },
    {
      name: `${label}, while it is confirmed`,
      isKeyed,
      run: (scenario, client, inject) => {
        for (const target of scenario.fleet.cluster.groups[0]?.targets ?? []) target.setLag(400);
        return injectDuring(client, sql, 150, inject);
      },
    },
  ];
}

const transactionStep: Step = {
  name: "transaction, before its commit",
  isKeyed: false,
  run: async (_, client, inject) => {
    await runStatement(client, "BEGIN");
    await runStatement(client, buildInsert(false));
    await inject();
    return runStatement(client, "COMMIT");
  },
};

export const steps: readonly Step[] = [...buildSteps(true), ...buildSteps(false), transactionStep];

/** Repeats a statement on the proxy that no fault affects until it succeeds. */
async function repeatUntilAnswered(
  { other }: FaultScenario,
  sql: string,
): Promise<readonly unknown[]> {
  let last: StatementOutcome | undefined;
  for (let tries = 0; tries < 60; tries += 1) {
    const client = await connectCaller(other.callers);
    last = await runStatement(client, sql);
    await client.end().catch(() => undefined);
    if (last.type === "answered") return last.rows;
    await sleep(100);
  }
  throw new Error(`the statement did not succeed: ${JSON.stringify(last)}`);
}

async function countRows(scenario: FaultScenario): Promise<number> {
  const rows = await repeatUntilAnswered(scenario, `SELECT id FROM seat WHERE id = ${rowId}`);
  return rows.length;
}

function checkVerdict(outcome: StatementOutcome, rows: number): void {
  switch (outcome.type) {
    case "answered":
      expect({ outcome, rows }).toEqual({ outcome, rows: 1 });
      break;
    case "notRun":
    case "error":
      expect({ outcome, rows }).toEqual({ outcome, rows: 0 });
      break;
    case "mayHaveRun":
      expect([0, 1]).toContain(rows);
      break;
  }
}

/** Keeps a cell for the table in docs/PROOF.md, which `npm run proof` makes. */
function recordCell(fault: string, step: Step, outcome: StatementOutcome, rows: number): void {
  const file = process.env.RADISHWALK_CELLS;
  if (file === undefined) return;
  const cell = { fault, step: step.name, heard: outcome.type, rows };
  appendFileSync(file, `${JSON.stringify(cell)}\n`);
}

/** Runs one cell: compares the outcome that the caller received with the stored rows once the fault has ended. */
export async function runCell(fault: string, step: Step): Promise<void> {
  const scenario = await startScenario();
  try {
    // On a busy machine the first try may be answered as one that may have run, and is repeated.
    await repeatUntilAnswered(scenario, "CREATE TABLE IF NOT EXISTS seat (id int, child text)");
    // The first keyed write creates the table of keys; faults are injected into later ones.
    await repeatUntilAnswered(
      scenario,
      "/* idempotency_key='first' */ INSERT INTO seat VALUES (1, 'Ion')",
    );
    const client = await connectCaller(scenario.entry.callers);
    await runStatement(client, "SELECT id FROM seat");
    const outcome = await step.run(scenario, client, async () => {
      await faults[fault]?.(scenario);
    });
    await endFaults(scenario);
    await repeatUntilAnswered(scenario, "INSERT INTO seat VALUES (1000, 'after')");
    const rows = await countRows(scenario);
    checkVerdict(outcome, rows);
    if (step.isKeyed) {
      await repeatUntilAnswered(scenario, buildInsert(true));
      expect(await countRows(scenario)).toBe(1);
    }
    expect(scenario.fleet.violations).toEqual([]);
    recordCell(fault, step, outcome, rows);
    await client.end().catch(() => undefined);
  } finally {
    await scenario.fleet.dispose();
  }
}

/** Declares a test for each combination of the given faults with a step. */
export function declareCells(names: readonly string[]): void {
  for (const fault of names) {
    for (const step of steps) {
      test(`${fault} | ${step.name}`, () => runCell(fault, step));
    }
  }
}
