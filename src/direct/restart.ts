import { compareMarkOrder, type Mark } from "../model/index.js";
import type { AnnouncedTarget } from "./serving-config.js";

/** The primary lost acknowledged commits and must not be read until the primary has been determined again. */
export class LostLogError extends Error {
  override readonly name = "LostLogError";
}

/** Whether a target's process has been replaced by another one under the same name. */
export function hasRestarted(before: AnnouncedTarget | undefined, now: AnnouncedTarget): boolean {
  const known = before?.startedAt;
  return known !== undefined && now.startedAt !== undefined && known !== now.startedAt;
}

/** Whether a primary's log ends before the end that it had reported earlier. */
export function hasLostLog(reported: Mark | undefined, openedAt: Mark | undefined): boolean {
  if (reported === undefined) return false;
  return openedAt === undefined || compareMarkOrder(openedAt, reported) < 0;
}
