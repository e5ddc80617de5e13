import type { LoadRole } from "./load-figures.js";

/** When figures of a group were last sent on one connection, by role. In milliseconds. */
export type SentTimes = Readonly<Partial<Record<LoadRole, number>>>;

/** The shortest time between two reports about a group and role on one connection, in milliseconds. */
export const minReportIntervalMs = 50;

/**
 * Decides what an answer reports: the load of the targets that its statement was about, or else of the others if
 * these are due. A refusal always has a report, since the node sends the next statement by it.
 */
export function chooseReportRole(
  sent: SentTimes,
  concerned: LoadRole,
  isRefusal: boolean,
  now: number,
): LoadRole | undefined {
  if (isDue(sent[concerned], now)) return concerned;
  const other = concerned === "primary" ? "replica" : "primary";
  if (isDue(sent[other], now)) return other;
  return isRefusal ? concerned : undefined;
}

function isDue(sentAt: number | undefined, now: number): boolean {
  return sentAt === undefined || now - sentAt >= minReportIntervalMs;
}
