import type { FailoverNote } from "../controller/failover/index.js";
import type { Logger } from "../log/index.js";
import { failoverEvents } from "../log/events/failover.js";

/** Logs a note of the failover controller. */
export function logFailoverNote(log: Logger, group: string, note: FailoverNote): void {
  const { type, ...fields } = note;
  log.write(failoverEvents[type], { group, ...fields });
}
