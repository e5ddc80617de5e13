import type { MergeConflict } from "../controller/configuration/index.js";
import { ConfigurationEditor, type EditResult } from "../fleet/index.js";
import type { Configuration } from "../model/index.js";
import { formatFault } from "../settings/index.js";
import { printResult, type CommandContext } from "./context.js";
import {
  ConflictError,
  FaultyFileError,
  NotEverywhereError,
  UnavailableError,
  UncertainError,
  UsageError,
} from "./errors.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";
import { readConfigurationFile } from "./file.js";
import { listProxyEndpoints } from "./endpoints.js";
import { waitUntilInForce, type RolloutStatus } from "./rollout.js";

/** Flags of `apply`. */
export interface ApplyFlags {
  /** The revision that the file is based on, if the file has none. */
  readonly base?: number;
  /** The longest time in seconds to wait until the change is in force on all live proxies. */
  readonly wait: number;
}

const msPerSecond = 1000;

/** Applies a file and waits until the new revision is in force on every live proxy. */
export async function runApply(
  context: CommandContext,
  path: string,
  flags: ApplyFlags,
): Promise<ExitCode> {
  const { file, warnings } = await readConfigurationFile(context, path);
  for (const warning of warnings) {
    if (!context.json) context.print(`warning: ${formatFault(warning)}`);
  }
  const base = flags.base ?? file.revision;
  if (!Number.isSafeInteger(base) && base !== undefined) {
    throw new UsageError("--base must be a revision: a whole number");
  }
  if (!(flags.wait >= 0)) throw new UsageError("--wait must be a number of seconds");
  if (base === undefined) {
    const hint = "start from `radishwalk get --output FILE`, or give --base (0 for the first file)";
    throw new UsageError(`${path} has no base revision: ${hint}`);
  }
  const changeId = context.createChangeId();
  const draft = { teams: file.teams, rules: file.rules };
  const editor = new ConfigurationEditor({
    ...context,
    findInForce: () => findGreatestInForce(context),
  });
  const result = await editor.apply({ changeId, draft }, base);
  return reportResult(context, result, flags);
}

/**
 * Reads the configuration with the highest revision in force on a proxy. It can be higher than the
 * stored one, if the store was restored from an old copy.
 */
async function findGreatestInForce(context: CommandContext): Promise<Configuration | undefined> {
  const endpoints = await listProxyEndpoints(context).catch(() => []);
  const summaries = await Promise.all(
    endpoints.map(async ({ health }) => ({
      health,
      revision: (await context.proxies.readSummary(health))?.revision ?? 0,
    })),
  );
  const [greatest] = summaries.sort((a, b) => b.revision - a.revision);
  if (greatest === undefined || greatest.revision === 0) return undefined;
  return context.proxies.readConfiguration(greatest.health);
}

async function reportResult(
  context: CommandContext,
  result: EditResult,
  flags: ApplyFlags,
): Promise<ExitCode> {
  switch (result.type) {
    case "applied":
    case "unchanged": {
      const rollout = await waitUntilInForce(context, result.revision, flags.wait * msPerSecond);
      return reportRollout(context, result, rollout);
    }
    case "conflict":
      throw new ConflictError(result.conflicts.map(formatConflict).join("\n"));
    case "baseUnknown":
      throw new ConflictError("the revision that the file is based on is no longer stored");
    case "unavailable":
      throw new UnavailableError(`nothing was changed: ${result.reason}`);
    case "uncertain":
      throw new UncertainError(`the change may have taken effect: ${result.reason}`);
    case "faulty":
      throw new FaultyFileError("the store's configuration is invalid");
  }
}

function reportRollout(
  context: CommandContext,
  result: Extract<EditResult, { type: "applied" | "unchanged" }>,
  rollout: RolloutStatus,
): ExitCode {
  const { revision, type } = result;
  const word = type === "applied" ? "accepted" : "already stored";
  const lines = rollout.missing.map(({ name, revision: has }) =>
    has === undefined ? `  ${name}: unreachable` : `  ${name}: revision ${has}`,
  );
  if (rollout.missing.length > 0) {
    const head = `revision ${revision} is ${word}, but not in force on all live proxies:`;
    throw new NotEverywhereError([head, ...lines].join("\n"));
  }
  const text = `revision ${revision} is ${word} and in force on ${rollout.inForce.length} proxies`;
  printResult(context, { result: type, revision, ...rollout }, text);
  return exitCodes.done;
}

function formatConflict(conflict: MergeConflict): string {
  switch (conflict.type) {
    case "team":
    case "rule":
      return `${conflict.type} ${conflict.name} was also changed by another operator`;
    case "order":
      return `the order of these rules was also changed by another operator: ${conflict.names.join(", ")}`;
    case "missingTeam":
      return `rule ${conflict.rule} refers to team ${conflict.team}, which another operator removed`;
  }
}
