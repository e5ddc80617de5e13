import type { Configuration, RequestTraits } from "../model/index.js";
import { explainMatch, resolveRoute, type RuleFinding } from "../policy/index.js";
import { formatDuration } from "../settings/index.js";
import { classifyStatement, loadParser } from "../sql/index.js";
import { printResult, type CommandContext } from "./context.js";
import { readStoredConfiguration } from "./stored.js";
import { UsageError } from "./errors.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";
import { readConfigurationFile } from "./file.js";

/** Flags of `explain`. */
export interface ExplainFlags {
  readonly team?: string;
  readonly group?: string;
  readonly kind?: string;
  readonly effect?: string;
  readonly tables?: string;
  readonly transaction?: boolean;
  /** A statement from which the effect and the tables are determined. */
  readonly sql?: string;
  /** A file whose rules are used instead of the stored configuration. */
  readonly file?: string;
}

/** Shows which rule decides on a request, and why the earlier rules don't match. */
export async function runExplain(context: CommandContext, flags: ExplainFlags): Promise<ExitCode> {
  const configuration = await findConfiguration(context, flags);
  const traits = await buildRequestTraits(flags, configuration);
  const { decided, isDefault, findings } = explainMatch(configuration, traits);
  const lines = [
    `request: ${formatTraits(traits)}`,
    ...findings.map(formatFinding),
    `${isDefault ? "no rule matches; decided by the default" : "decided by"}: ${decided.name}`,
    formatAction(decided.then, traits),
  ];
  const { revision } = configuration;
  printResult(context, { revision, traits, decided, isDefault, findings }, lines.join("\n"));
  return exitCodes.done;
}

async function findConfiguration(
  context: CommandContext,
  { file: path }: ExplainFlags,
): Promise<Configuration> {
  const empty = { revision: 0, changeId: "", teams: [], rules: [] };
  if (path === undefined) return (await readStoredConfiguration(context)) ?? empty;
  const { file } = await readConfigurationFile(context, path);
  return { ...empty, teams: file.teams, rules: file.rules };
}

async function buildRequestTraits(
  flags: ExplainFlags,
  { teams }: Configuration,
): Promise<RequestTraits> {
  if (flags.team === undefined) throw new UsageError("--team is required: the caller's team");
  const team = teams.find(({ name }) => name === flags.team);
  if (team === undefined) throw new UsageError(`team ${flags.team} is not in the configuration`);
  const { effect, tables } = await getEffectAndTables(flags);
  return {
    group: flags.group ?? "",
    team: team.name,
    plan: team.plan,
    kind: flags.kind ?? effect,
    effect,
    tables,
    transaction: flags.transaction === true,
  };
}

async function getEffectAndTables(
  flags: ExplainFlags,
): Promise<Pick<RequestTraits, "effect" | "tables">> {
  if (flags.sql !== undefined) {
    await loadParser();
    return classifyStatement(flags.sql);
  }
  const effect = flags.effect ?? "write";
  if (effect !== "read" && effect !== "write")
    throw new UsageError(`--effect must be read or write, not ${effect}`);
  return { effect, tables: flags.tables?.split(",") ?? [] };
}

function formatTraits({ team, plan, kind, effect, tables, transaction, group }: RequestTraits) {
  const parts = [`${plan} team ${team}`, `kind ${kind}`, effect];
  if (group !== "") parts.push(`group ${group}`);
  if (tables.length > 0) parts.push(`tables ${tables.join(", ")}`);
  if (transaction) parts.push("in a transaction");
  return parts.join(", ");
}

function formatFinding(finding: RuleFinding): string {
  switch (finding.type) {
    case "decides":
      return `  ${finding.rule}: matches`;
    case "differs":
      return `  ${finding.rule}: ${finding.part} is ${formatValue(finding.found)}, expected ${formatValue(finding.wanted)}`;
    case "notAsked":
      return `  ${finding.rule}: not evaluated`;
  }
}

function formatValue(value: unknown): string {
  return Array.isArray(value) ? value.map(String).join(" or ") : String(value);
}

function formatAction(
  action: ReturnType<typeof explainMatch>["decided"]["then"],
  traits: RequestTraits,
): string {
  switch (action.type) {
    case "serve": {
      const route = resolveRoute(traits, action.route);
      const to =
        route.type === "stale" ? `replica up to ${formatDuration(route.maxAgeMs)} old` : route.type;
      const times = `deadline ${formatDuration(action.deadlineMs)}, queue ${formatDuration(action.maxQueueMs)}`;
      const rest = `${action.retry.attempts} retries, ${action.acknowledgement}`;
      return `  serve: ${to}, class ${action.priority}, ${times}, ${rest}`;
    }
    case "refuse":
      return `  refuse: ${action.reason}, retry after ${formatDuration(action.retryAfterMs)}`;
  }
}
