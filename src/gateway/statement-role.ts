import type { SessionContext } from "../direct/index.js";
import { findEffect, type Work } from "../statement/index.js";
import type { LoadRole } from "./load-figures.js";

/** The targets that a statement's node takes it to need. */
export function findRole(
  { database, lastCommit }: SessionContext,
  work: Work,
  isReadOnly: boolean,
): LoadRole {
  const { route } = database.action;
  const isFresh = route.type === "replica" && route.maxAgeMs === undefined && !lastCommit;
  const needsPrimary = !isReadOnly || findEffect(work) === "write" || route.type === "primary";
  return needsPrimary || isFresh ? "primary" : "replica";
}
