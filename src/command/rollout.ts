import type { CommandContext } from "./context.js";
import { listProxyEndpoints, type ProxyEndpoint } from "./endpoints.js";

const pollIntervalMs = 200;
const maxConcurrentRequests = 64;

/** The proxies on which a revision is in force, and those on which it isn't. */
export interface RolloutStatus {
  readonly inForce: readonly string[];
  readonly missing: readonly PendingProxy[];
  /** VMs of the platform's list that are down or leaving according to the proxies. */
  readonly gone: readonly string[];
}

/** A live proxy on which the revision is not in force. */
export interface PendingProxy {
  readonly name: string;
  /** The revision in force on it; absent if the proxy is unreachable. */
  readonly revision?: number;
}

/** Polls the proxies until a revision is in force on all live ones, or `waitMs` has passed. */
export async function waitUntilInForce(
  context: CommandContext,
  revision: number,
  waitMs: number,
): Promise<RolloutStatus> {
  const deadline = context.clock.now() + waitMs;
  const endpoints = await listProxyEndpoints(context);
  const inForce: string[] = [];
  let remaining: readonly ProxyEndpoint[] = endpoints;
  let missing: readonly PendingProxy[] = [];
  for (;;) {
    const answers = await readRevisions(context, remaining);
    inForce.push(...answers.filter((a) => (a.revision ?? -1) >= revision).map((a) => a.name));
    missing = answers.filter((a) => (a.revision ?? -1) < revision);
    const names = new Set(missing.map(({ name }) => name));
    remaining = remaining.filter(({ name }) => names.has(name));
    if (remaining.length === 0 || context.clock.now() >= deadline) break;
    await context.clock.sleep(pollIntervalMs);
  }
  const gone = missing.length === 0 ? [] : await findDownOrLeaving(context, endpoints);
  return { inForce, missing: missing.filter(({ name }) => !gone.includes(name)), gone };
}

async function readRevisions(
  context: CommandContext,
  endpoints: readonly ProxyEndpoint[],
): Promise<readonly PendingProxy[]> {
  const answers: PendingProxy[] = [];
  for (let i = 0; i < endpoints.length; i += maxConcurrentRequests) {
    const batch = endpoints.slice(i, i + maxConcurrentRequests);
    answers.push(...(await Promise.all(batch.map((endpoint) => readRevision(context, endpoint)))));
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

/** Asks the first proxy that answers, since the platform's list of VMs is updated with a delay. */
async function findDownOrLeaving(
  context: CommandContext,
  endpoints: readonly ProxyEndpoint[],
): Promise<readonly string[]> {
  for (const { health } of endpoints) {
    const report = await context.proxies.readReport(health);
    if (report === undefined) continue;
    return report.members
      .filter(({ status }) => status === "down" || status === "leaving")
      .map(({ name }) => name);
  }
  return [];
}
