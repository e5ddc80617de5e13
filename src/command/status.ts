import { printResult, type CommandContext } from "./context.js";
import { UnavailableError } from "./errors.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";
import { listProxyEndpoints } from "./endpoints.js";
import type { ProxyReport } from "../report/index.js";
import { formatTable } from "./table.js";

interface ProxyRow {
  readonly name: string;
  readonly report?: ProxyReport;
}

/** Shows the proxies, each with its revision in force, and the groups with owners and targets. */
export async function runStatus(context: CommandContext): Promise<ExitCode> {
  const endpoints = await listProxyEndpoints(context);
  const rows = await Promise.all(
    endpoints.map(async ({ name, health }): Promise<ProxyRow> => {
      const report = await context.proxies.readReport(health);
      return report === undefined ? { name } : { name: report.vm, report };
    }),
  );
  const reports = rows.flatMap(({ report }) => report ?? []);
  if (reports.length === 0) throw new UnavailableError("no proxy is reachable");
  const unreachable = rows.filter(({ report }) => report === undefined).map(({ name }) => name);
  const text = [formatProxies(rows, reports), "", formatGroups(reports)].join("\n");
  printResult(context, { proxies: reports, unreachable }, text);
  return exitCodes.done;
}

function formatProxies(rows: readonly ProxyRow[], reports: readonly ProxyReport[]): string {
  const head = [
    "proxy",
    "data centre",
    "state",
    "revision",
    "callers",
    "owns",
    "seen by others as",
  ];
  const lines = rows.map(({ name, report }) => [
    name,
    report?.dataCentre ?? "",
    report?.state ?? "unreachable",
    String(report?.revision ?? ""),
    String(report?.callers ?? ""),
    String(report?.groups.length ?? ""),
    describeStatusSeenByOthers(name, reports),
  ]);
  return formatTable(head, lines);
}

/** Lists the statuses other than alive that the other proxies report for a proxy. */
function describeStatusSeenByOthers(name: string, reports: readonly ProxyReport[]): string {
  const statuses = reports
    .filter(({ vm }) => vm !== name)
    .map(({ members }) => members.find((m) => m.name === name)?.status ?? "unknown");
  return [...new Set(statuses)].filter((status) => status !== "alive").join(", ");
}

function formatGroups(reports: readonly ProxyReport[]): string {
  const head = ["group", "owner", "term", "target", "role", "mark", "lag", "missed", "queued"];
  const lines = reports.flatMap(({ vm, groups }) =>
    groups.flatMap(({ group, term, targets, queued }) =>
      targets.map((target, i) => [
        i === 0 ? group : "",
        i === 0 ? vm : "",
        i === 0 ? (term ?? "none") : "",
        target.target,
        target.role,
        target.mark ?? "",
        String(target.lag ?? ""),
        String(target.missedProbes),
        i === 0 ? String(queued) : "",
      ]),
    ),
  );
  return formatTable(head, lines);
}
