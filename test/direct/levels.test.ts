import { afterEach, expect, test } from "@jest/globals";
import type { SlotWait } from "../../src/capacity/index.js";
import type { StatementSample } from "../../src/direct/index.js";
import { DirectSession } from "../../src/direct/session.js";
import { directRunner } from "../../src/direct/direct.js";
import type { LogFields } from "../../src/log/index.js";
import { answered, makeDatabase, ProxyFixture, read } from "./fixture.js";

const createDatabase = (name: string, level: number, objectiveMs: number) => {
  const database = makeDatabase(name, { type: "primary" });
  return { ...database, action: { ...database.action, level, objectiveMs } };
};
const databases = [
  createDatabase("top", 0, 150),
  createDatabase("short", 1, 200),
  createDatabase("long", 1, 800),
  createDatabase("low", 7, 800),
];

let fixture: ProxyFixture;
let waits: { readonly group: string; readonly wait: SlotWait }[];
let samples: StatementSample[];
let lines: LogFields[];

afterEach(() => fixture.dispose());

function start(): void {
  fixture = new ProxyFixture({ targets: ["p"], slots: 1, proxies: 8, databases });
  [waits, samples, lines] = [[], [], []];
  Object.assign(fixture.ports, {
    onSlotWait: (group: string, wait: SlotWait) => waits.push({ group, wait }),
    onStatement: (sample: StatementSample) => samples.push(sample),
    logger: { write: (_event: unknown, fields: LogFields) => lines.push(fields) },
  });
}

let next = 1;
const run = (database: string, id: string) =>
  new DirectSession({
    id: `s-${id}`,
    database,
    key: "",
    ports: fixture.ports,
    groups: fixture.groups,
    runner: directRunner,
    nextId: () => `t${next++}`,
  }).run(read(id));

/** Answers the statements at the target one after the other and returns their ids in that order. */
async function serve(count: number, eachMs: number): Promise<readonly string[]> {
  const order: string[] = [];
  for (let i = 0; i < count; i += 1) {
    const sent = fixture.list("p", "work")[i];
    if (sent?.command.type !== "work") break;
    order.push(sent.command.work.id);
    await fixture.advance(eachMs);
    sent.answer(answered());
    await fixture.advance(0);
  }
  return order;
}

// Guards against a level or an objective of the configuration that does not reach the admission queue.
test("statements of a configuration with levels are sent by level and then by objective", async () => {
  start();
  const all = [run("low", "running")];
  await fixture.advance(1);
  for (const name of ["low", "long", "short", "top"]) all.push(run(name, name));
  await fixture.advance(1);
  expect(await serve(5, 5)).toEqual(["running", "top", "short", "long", "low"]);
  await Promise.all(all);
});

// Guards against a missed objective, or a refusal of a level, that no metric and no log line shows.
test("waits, refusals and missed objectives are reported with the level", async () => {
  start();
  const first = run("low", "running");
  await fixture.advance(1);
  const late = run("short", "late");
  await fixture.advance(250);
  fixture.list("p", "work")[0]?.answer(answered());
  await fixture.advance(0);
  fixture.list("p", "work")[1]?.answer(answered());
  await Promise.all([first, late]);
  await fixture.advance(0);
  expect(samples).toMatchObject([
    { level: 7, isObjectiveMissed: false },
    { level: 1, isObjectiveMissed: true },
  ]);
  expect(waits).toMatchObject([
    { group: "ledger", wait: { level: 7, waitMs: 0 } },
    { group: "ledger", wait: { level: 1, waitMs: 250 } },
  ]);
  const many = Array.from({ length: 400 }, (_, i) => run("low", `q${i}`));
  await fixture.advance(1);
  const refused = lines.filter((fields) => fields.retryAfterMs !== undefined);
  expect(refused.length).toBeGreaterThan(0);
  expect(refused.every(({ level }) => level === 7)).toBe(true);
  expect(waits.filter(({ wait }) => wait.refusedFor !== undefined)).toHaveLength(refused.length);
  for (let i = 2; i < 402; i += 1) {
    fixture.list("p", "work")[i]?.answer(answered());
    await fixture.advance(0);
  }
  await Promise.all(many);
});
