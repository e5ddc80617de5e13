import {
  fail,
  succeed,
  type StepResult,
  type Configuration,
  type Rule,
  type Team,
} from "../../model/index.js";
import { isSameValue } from "./canonical.js";

/** What changed between two revisions. */
export interface ConfigurationDelta {
  /** The revision that it can be applied to. */
  readonly base: number;
  readonly revision: number;
  readonly changeId: string;
  /** Teams and rules that are new or changed. */
  readonly teams: readonly Team[];
  readonly removedTeams: readonly string[];
  readonly rules: readonly Rule[];
  /** All rules' names in order; absent when these are as before. */
  readonly order?: readonly string[];
}

/** Builds what takes `before` to `after`. */
export function buildDelta(before: Configuration, after: Configuration): ConfigurationDelta {
  const order = after.rules.map(({ name }) => name);
  const isSameOrder = isSameValue(
    order,
    before.rules.map(({ name }) => name),
  );
  const kept = new Set(after.teams.map(({ name }) => name));
  return {
    base: before.revision,
    revision: after.revision,
    changeId: after.changeId,
    teams: listChanged(before.teams, after.teams),
    removedTeams: before.teams.map(({ name }) => name).filter((name) => !kept.has(name)),
    rules: listChanged(before.rules, after.rules),
    ...(isSameOrder ? {} : { order }),
  };
}

/** Applies a delta to the revision it was built from; fails on any other. */
export function applyDelta(
  before: Configuration,
  delta: ConfigurationDelta,
): StepResult<Configuration, never, "wrongBase" | "missingRule"> {
  if (before.revision !== delta.base) return fail("wrongBase");
  const rules = mapByName([...before.rules, ...delta.rules]);
  const order = delta.order ?? before.rules.map(({ name }) => name);
  const ordered = order.flatMap((name) => rules.get(name) ?? []);
  if (ordered.length !== order.length) return fail("missingRule");
  const teams = mapByName([...before.teams, ...delta.teams]);
  for (const name of delta.removedTeams) teams.delete(name);
  return succeed({
    revision: delta.revision,
    changeId: delta.changeId,
    teams: [...teams.values()],
    rules: ordered,
  });
}

function listChanged<T extends { readonly name: string }>(
  before: readonly T[],
  after: readonly T[],
): readonly T[] {
  const known = mapByName(before);
  return after.filter((entry) => !isSameValue(known.get(entry.name), entry));
}

function mapByName<T extends { readonly name: string }>(entries: readonly T[]): Map<string, T> {
  return new Map(entries.map((entry) => [entry.name, entry]));
}
