import type { CommandContext } from "./context.js";
import { findPlaces, type Place } from "./places.js";

const pollMs = 200;
const atOnce = 64;

/** Where a revision is in force and where it isn't. */
export interface Spread {
  readonly inForce: readonly string[];
  readonly missing: readonly Missing[];
  /** VMs of the platform's list that the proxies hold for down or leaving. */
  readonly gone: readonly string[];
}

/** A live proxy without the revision. */
export interface Missing {
  readonly name: string;
  /** What it has in force; absent when it can't be reached. */
  readonly revision?: number;
}

/** Asks every proxy until all live ones have a revision in force, or the time is over. */
export async function waitInForce(
  context: CommandContext,
  revision: number,
  waitMs: number,
): Promise<Spread> {
  const deadline = context.clock.now() + waitMs;
  const places = await findPlaces(context);
  const inForce: string[] = [];
  let open: readonly Place[] = places;
  let missing: readonly Missing[] = [];
  for (;;) {
    const answers = await askAll(context, open);
    inForce.push(...answers.filter((a) => (a.revision ?? -1) >= revision).map((a) => a.name));
    missing = answers.filter((a) => (a.revision ?? -1) < revision);
    const names = new Set(missing.map(({ name }) => name));
    open = open.filter(({ name }) => names.has(name));
    if (open.length === 0 || context.clock.now() >= deadline) break;
    await context.clock.sleep(pollMs);
  }
  const gone = missing.length === 0 ? [] : await findGone(context, places);
  return { inForce, missing: missing.filter(({ name }) => !gone.includes(name)), gone };
}

async function askAll(
  context: CommandContext,
  places: readonly Place[],
): Promise<readonly Missing[]> {
  const answers: Missing[] = [];
  for (let i = 0; i < places.length; i += atOnce) {
    const some = places.slice(i, i + atOnce);
    answers.push(...(await Promise.all(some.map((place) => ask(context, place)))));
  }
  return answers;
}

async function ask(context: CommandContext, { name, health }: Place): Promise<Missing> {
  const summary = await context.proxies.readSummary(health);
  return summary === undefined ? { name } : { name, revision: summary.revision };
}

/** The platform's list lags: the first proxy that answers tells who is gone. */
async function findGone(
  context: CommandContext,
  places: readonly Place[],
): Promise<readonly string[]> {
  for (const { health } of places) {
    const report = await context.proxies.readReport(health);
    if (report === undefined) continue;
    return report.members
      .filter(({ status }) => status === "down" || status === "leaving")
      .map(({ name }) => name);
  }
  return [];
}
