import { appendFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "@jest/globals";
import type pg from "pg";
import { orderOwners } from "../../src/policy/index.js";
import { startFleet, type Fleet, type FleetMember } from "../../standin/fleet.js";
import type { FaultyLink } from "../../standin/link.js";
import type { StandinTarget } from "../../standin/target/index.js";
import { runStatement, connectCaller, type StatementOutcome } from "./caller.js";

/** The parts of a fleet that a fault strikes. */
export interface FaultScenario {
  readonly fleet: Fleet;
  readonly primary: StandinTarget;
  readonly primaryLink: FaultyLink;
  readonly owner: FleetMember;
  /** The proxy that the caller is on; not the owner. */
  readonly entry: FleetMember;
  /** A proxy that no fault strikes. */
  readonly other: FleetMember;
}

/** Switches a fault on, and gives what ends it. */
export type FaultInjector = (scene: FaultScenario) => void | Promise<void>;

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

async function startScene(): Promise<FaultScenario> {
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
  if (!owner || !entry || !other || !primary || !primaryLink) throw new Error("no scene");
  return { fleet, primary, primaryLink, owner, entry, other };
}

/** Ends all faults that can end: killed targets come back, killed proxies do not. */
async function heal({ fleet, primary, primaryLink, owner }: FaultScenario): Promise<void> {
  fleet.cluster.platform.setDown(false);
  primary.faults.endAll();
  primaryLink.heal();
  owner.link.heal();
  await primary.start().catch(() => undefined);
}

/** How a write is sent, and when the fault strikes. */
export interface Step {
  readonly name: string;
  readonly isKeyed: boolean;
  run(
    scene: FaultScenario,
    client: pg.Client,
    strike: () => Promise<void>,
  ): Promise<StatementOutcome>;
}

function buildInsert(isKeyed: boolean): string {
  const tag = isKeyed ? "/* kind='reservation',idempotency_key='seat-7' */ " : "";
  return `${tag}INSERT INTO seat VALUES (${rowId}, 'Ana')`;
}

async function strikeWithin(
  client: pg.Client,
  sql: string,
  afterMs: number,
  strike: () => Promise<void>,
): Promise<StatementOutcome> {
  const asked = runStatement(client, sql);
  await sleep(afterMs);
  await strike();
  return asked;
}

function buildSteps(isKeyed: boolean): readonly Step[] {
  const sql = buildInsert(isKeyed);
  const label = isKeyed ? "keyed" : "unkeyed";
  return [
    {
      name: `${label}, before it is sent`,
      isKeyed,
      run: async (_, client, strike) => {
        await strike();
        return runStatement(client, sql);
      },
    },
    {
      name: `${label}, while it runs`,
      isKeyed,
      run: (scene, client, strike) => {
        scene.primary.faults.slowFactor = 150;
        return strikeWithin(client, sql, 60, strike);
      },
    },
    {
      name: `${label}, while it is confirmed`,
      isKeyed,
      run: (scene, client, strike) => {
        for (const target of scene.fleet.cluster.groups[0]?.targets ?? []) target.setLag(400);
        return strikeWithin(client, sql, 150, strike);
      },
    },
  ];
}

const transactionStep: Step = {
  name: "transaction, before its commit",
  isKeyed: false,
  run: async (_, client, strike) => {
    await runStatement(client, "BEGIN");
    await runStatement(client, buildInsert(false));
    await strike();
    return runStatement(client, "COMMIT");
  },
};

export const steps: readonly Step[] = [...buildSteps(true), ...buildSteps(false), transactionStep];

/** Asks at a proxy that no fault strikes until it is answered. */
async function askUntilAnswered(
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
  throw new Error(`no answer after healing: ${JSON.stringify(last)}`);
}

async function countRows(scene: FaultScenario): Promise<number> {
  const rows = await askUntilAnswered(scene, `SELECT id FROM seat WHERE id = ${rowId}`);
  return rows.length;
}

function checkVerdict(told: StatementOutcome, rows: number): void {
  switch (told.type) {
    case "answered":
      expect({ told, rows }).toEqual({ told, rows: 1 });
      break;
    case "notRun":
    case "error":
      expect({ told, rows }).toEqual({ told, rows: 0 });
      break;
    case "mayHaveRun":
      expect([0, 1]).toContain(rows);
      break;
  }
}

/** Keeps a cell for the table in docs/PROOF.md, which `npm run proof` makes. */
function recordCell(fault: string, step: Step, told: StatementOutcome, rows: number): void {
  const file = process.env.RADISHWALK_CELLS;
  if (file === undefined) return;
  const cell = { fault, step: step.name, heard: told.type, rows };
  appendFileSync(file, `${JSON.stringify(cell)}\n`);
}

/** One cell: what the caller hears against what the group holds once all is well again. */
export async function runCell(fault: string, step: Step): Promise<void> {
  const scene = await startScene();
  try {
    // On a busy machine its first try may be answered as one that may have run; it is asked again then.
    await askUntilAnswered(scene, "CREATE TABLE IF NOT EXISTS seat (id int, child text)");
    // The table of keys is made with the first keyed write; the faults are to meet later ones.
    await askUntilAnswered(
      scene,
      "/* idempotency_key='first' */ INSERT INTO seat VALUES (1, 'Ion')",
    );
    const client = await connectCaller(scene.entry.callers);
    await runStatement(client, "SELECT id FROM seat");
    const told = await step.run(scene, client, async () => {
      await faults[fault]?.(scene);
    });
    await heal(scene);
    await askUntilAnswered(scene, "INSERT INTO seat VALUES (1000, 'after')");
    const rows = await countRows(scene);
    checkVerdict(told, rows);
    if (step.isKeyed) {
      await askUntilAnswered(scene, buildInsert(true));
      expect(await countRows(scene)).toBe(1);
    }
    expect(scene.fleet.violations).toEqual([]);
    recordCell(fault, step, told, rows);
    await client.end().catch(() => undefined);
  } finally {
    await scene.fleet.dispose();
  }
}

/** Declares the cells of some faults as tests. */
export function declareCells(names: readonly string[]): void {
  for (const fault of names) {
    for (const step of steps) {
      test(`${fault} | ${step.name}`, () => runCell(fault, step));
    }
  }
}
