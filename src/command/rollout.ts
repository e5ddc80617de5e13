import type { CommandContext } from "./context.js";
import { listProxyEndpoints, type ProxyEndpoint } from "./endpoints.js";

const pollIntervalMs = 200;
const maxConcurrentRequests = 64;

/** Where a revision is in force and where it isn't. */
export interface RolloutStatus {
  readonly inForce: readonly string[];
  readonly missing: readonly PendingProxy[];
  /** VMs of the platform's list that the proxies hold for down or leaving. */
  readonly gone: readonly string[];
}

/** A live proxy without the revision. */
export interface PendingProxy {
  readonly name: string;
  /** What it has in force; absent when it can't be reached. */
  readonly revision?: number;
}

/** Asks every proxy until all live ones have a revision in force, or the time is over. */
export async function waitUntilInForce(
  context: CommandContext,
  revision: number,
  waitMs: number,
): Promise<RolloutStatus> {
  const deadline = context.clock.now() + waitMs;
  const places = await listProxyEndpoints(context);
  const inForce: string[] = [];
  let open: readonly ProxyEndpoint[] = places;
  let missing: readonly PendingProxy[] = [];
  for (;;) {
    const answers = await readRevisions(context, open);
    inForce.push(...answers.filter((a) => (a.revision ?? -1) >= revision).map((a) => a.name));
    missing = answers.filter((a) => (a.revision ?? -1) < revision);
    const names = new Set(missing.map(({ name }) => name));
    open = open.filter(({ name }) => names.has(name));
    if (open.length === 0 || context.clock.now() >= deadline) break;
    await context.clock.sleep(pollIntervalMs);
  }
  const gone = missing.length === 0 ? [] : await findDownOrLeaving(context, places);
  return { inForce, missing: missing.filter(({ name }) => !gone.includes(name)), gone };
}

async function readRevisions(
  context: CommandContext,
  places: readonly ProxyEndpoint[],
): Promise<readonly PendingProxy[]> {
  const answers: PendingProxy[] = [];
  for (let i = 0; i < places.length; i += maxConcurrentRequests) {
    const some = places.slice(i, i + maxConcurrentRequests);
    answers.push(...(await Promise.all(some.map((place) => readRevision(context, place)))));
  }
  return answers;
}

async function readRevision(
  context: CommandContext,
  { name, health }: ProxyEndpoint,
): Promise<PendingProxy> {
  const summary = await context.proxies.readSummary(health);
  return summary === undefined ? { name } : { name, revision: summary.revision };
}

/** The platform's list lags: the first proxy that answers tells who is gone. */
async function findDownOrLeaving(
  context: CommandContext,
  places: readonly ProxyEndpoint[],
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
