import { setTimeout as sleep } from "node:timers/promises";
import pg from "pg";
import { compareTerms, formatMark } from "../../src/model/index.js";
import type { RunningGroup } from "../cluster.js";
import type { StandinTarget } from "../target/index.js";
import type { SoakContext } from "./context.js";
import { checkStored, type StoredBooking } from "./ledger.js";

const convergeTries = 300;
const convergePauseMs = 100;

/** Waits until all targets of a group have the same log position as its primary, and returns the primary. */
export async function waitUntilConverged(
  { name, targets }: RunningGroup,
  context: SoakContext,
): Promise<StandinTarget> {
  for (let i = 0; i < convergeTries; i += 1) {
    const primary = findPrimary(targets);
    if (primary !== undefined && targets.every((t) => isSameLog(t, primary))) return primary;
    await sleep(convergePauseMs);
  }
  for (const { member } of targets) context.trace.record("check", JSON.stringify(member.status));
  context.reportBreach(`the targets of ${name} do not converge after the faults ended`);
  return findPrimary(targets) ?? fail(`group ${name} has no primary`);
}

/** Compares a table on the primary of a group with the outcomes that callers were told. */
export async function verifyTable(
  group: string,
  primary: StandinTarget,
  table: string,
  context: SoakContext,
): Promise<void> {
  const stored = await readTable(group, primary, table);
  const bookings = context.ledger.list(group, table);
  context.counts.add("checked", "rows", bookings.length);
  for (const breach of checkStored(bookings, stored)) {
    context.trace.record("check", `${breach.description} at ${primary.name}`);
    context.reportBreach(`${group}: ${breach.description}`, breach.subjects);
  }
}

/** Adds the statements that contain `subject` to the trace, with the target that ran them and their result. */
export function recordStatements(subject: string, context: SoakContext): void {
  for (const { targets } of context.fleet.cluster.groups) {
    for (const { name, statements } of targets) {
      for (const { text, connection, fate } of statements.list(subject)) {
        const line = `connection ${connection}: ${text} → ${JSON.stringify(fate)}`;
        context.trace.record(name, line);
      }
    }
  }
}

async function readTable(
  group: string,
  { address }: StandinTarget,
  table: string,
): Promise<readonly StoredBooking[]> {
  const client = new pg.Client({ ...address, database: group, user: "check" });
  client.on("error", () => undefined);
  await client.connect();
  try {
    const { rows } = await client.query<StoredBooking>(`SELECT id, confirmed FROM ${table}`);
    return rows;
  } finally {
    await client.end();
  }
}

/** Finds the primary of the newest term by the status of the targets; undefined when none is primary. */
export function findPrimary(targets: readonly StandinTarget[]): StandinTarget | undefined {
  const primaries = targets.filter((t) => t.member.status.role === "primary");
  return primaries.reduce<StandinTarget | undefined>(
    (best, t) => (best === undefined || isNewer(t, best) ? t : best),
    undefined,
  );
}

function isNewer({ member: a }: StandinTarget, { member: b }: StandinTarget): boolean {
  return compareTerms(a.status.mark.term, b.status.mark.term) > 0;
}

function isSameLog({ member: a }: StandinTarget, { member: b }: StandinTarget): boolean {
  return formatMark(a.status.mark) === formatMark(b.status.mark);
}

function fail(reason: string): never {
  throw new Error(reason);
}
