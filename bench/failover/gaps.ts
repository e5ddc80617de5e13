import type { FailoverPhases } from "../../src/groupwatch/index.js";
import type { Random } from "../../src/model/index.js";
import type { Failure, GapListener, Rig } from "./rig.js";
import { type Summary, summarise } from "./statistics.js";
import { waitForPrimary, writeOnce } from "./writer.js";

/** Gaps of one kind of failure. `gap` runs from the failure to the first write acknowledged. */
export interface GapReport {
  readonly failure: Failure;
  readonly gap: Summary;
  readonly detecting: Summary;
  readonly fencing: Summary;
  readonly promoting: Summary;
  readonly firstWrite: Summary;
}

/** The longest time for which a group is left to itself between two failures. */
const restMs = 500;
const retryMs = 1;

/** Fails the primary again and again under writes, and measures until writes land again. */
export async function measureGaps(
  create: (onGap: GapListener) => Rig | Promise<Rig>,
  failure: Failure,
  failovers: number,
  random: Random,
): Promise<GapReport> {
  const splits: FailoverPhases[] = [];
  const gaps: number[] = [];
  const rig = await create((_, split) => splits.push(split));
  await waitForPrimary(rig);
  while (gaps.length < failovers) {
    await writeFor(rig, restMs * (0.5 + random.draw()));
    gaps.push(await failOnce(rig, failure));
  }
  await rig.dispose();
  return summariseGaps(failure, gaps, splits.slice(-failovers));
}

function summariseGaps(
  failure: Failure,
  gaps: readonly number[],
  splits: readonly FailoverPhases[],
): GapReport {
  if (splits.length !== gaps.length) throw new Error("a change of primary went unreported");
  const others = splits.map((s) => s.fencingMs + s.promotingMs + s.firstWriteMs);
  return {
    failure,
    gap: summarise(gaps),
    detecting: summarise(gaps.map((gap, i) => gap - (others[i] ?? 0))),
    fencing: summarise(splits.map((s) => s.fencingMs)),
    promoting: summarise(splits.map((s) => s.promotingMs)),
    firstWrite: summarise(splits.map((s) => s.firstWriteMs)),
  };
}

async function writeFor(rig: Rig, ms: number): Promise<void> {
  const end = rig.clock.now() + ms;
  while (rig.clock.now() < end) await writeOnce(rig, "replicated");
}

async function failOnce(rig: Rig, failure: Failure): Promise<number> {
  const old = rig.watch.getView().primary?.target;
  if (old === undefined) throw new Error("no primary to fail");
  void writeOnce(rig, "replicated");
  const failedAt = rig.clock.now();
  await rig.fail(old, failure);
  await waitForPrimary(rig, old);
  while (!(await writeOnce(rig, "replicated"))) await rig.clock.sleep(retryMs);
  const gapMs = rig.clock.now() - failedAt;
  await rig.mend(old);
  await waitUntilWhole(rig);
  return gapMs;
}

/** Waits until every target follows the primary or leads. */
async function waitUntilWhole(rig: Rig): Promise<void> {
  for (;;) {
    const { primary, targets } = rig.watch.getView();
    const statuses = Object.values(targets).flatMap((t) => (t === undefined ? [] : [t.status]));
    const name = primary?.target;
    const isWhole = statuses.every((s) => s.target === name || s.follows === name);
    if (name !== undefined && statuses.length > 2 && isWhole) return;
    await rig.clock.sleep(5);
  }
}
