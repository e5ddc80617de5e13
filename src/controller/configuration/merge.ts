import type { Configuration, Rule, Team } from "../../model/index.js";
import { isSameValue } from "./canonical.js";
import { mergeOrders } from "./order.js";

/** Teams and rules without a revision. */
export type Draft = Pick<Configuration, "teams" | "rules">;

/** A place where the changes of two editors are incompatible. */
export type MergeConflict =
  /** Both changed the same entry differently. */
  | { readonly type: "team" | "rule"; readonly name: string }
  /** Both reordered rules, or added rules that can match the same request at the same position. */
  | { readonly type: "order"; readonly names: readonly string[] }
  /** A rule of one editor names a team that the other removed. */
  | { readonly type: "missingTeam"; readonly rule: string; readonly team: string };

/** The result of a merge: a draft with both changes, or every conflict between them. */
export type Merge =
  | { readonly type: "merged"; readonly draft: Draft }
  | { readonly type: "conflict"; readonly conflicts: readonly MergeConflict[] };

/**
 * Merges two changes of `base` (a three-way merge). An entry that only one side changed is taken
 * from that side. An entry that both changed differently is a conflict, so no edit is silently
 * lost.
 */
export function mergeDrafts(base: Draft, mine: Draft, theirs: Draft): Merge {
  const teams = mergeEntries<Team>("team", base.teams, mine.teams, theirs.teams);
  const rules = mergeEntries<Rule>("rule", base.rules, mine.rules, theirs.rules);
  const order = mergeOrders(base.rules, mine.rules, theirs.rules);
  const conflicts = [...teams.conflicts, ...rules.conflicts];
  if (order.type === "conflict") conflicts.push({ type: "order", names: order.names });
  if (conflicts.length > 0 || order.type === "conflict") {
    return { type: "conflict", conflicts };
  }
  const draft: Draft = {
    teams: [...teams.entries.values()],
    rules: order.names.flatMap((name) => rules.entries.get(name) ?? []),
  };
  const missing = findMissingTeams(draft);
  return missing.length > 0 ? { type: "conflict", conflicts: missing } : { type: "merged", draft };
}

function mergeEntries<T extends Team | Rule>(
  type: "team" | "rule",
  base: readonly T[],
  mine: readonly T[],
  theirs: readonly T[],
): { readonly entries: ReadonlyMap<string, T>; readonly conflicts: MergeConflict[] } {
  const indexByName = (entries: readonly T[]) =>
    new Map(entries.map((entry) => [entry.name, entry]));
  const [inBase, inMine, inTheirs] = [indexByName(base), indexByName(mine), indexByName(theirs)];
  const entries = new Map<string, T>();
  const conflicts: MergeConflict[] = [];
  for (const name of new Set([...inTheirs.keys(), ...inMine.keys()])) {
    const [before, own, other] = [inBase.get(name), inMine.get(name), inTheirs.get(name)];
    const shouldTakeMine = isSameValue(before, other) || isSameValue(own, other);
    if (!shouldTakeMine && !isSameValue(before, own)) conflicts.push({ type, name });
    const chosen = shouldTakeMine ? own : other;
    if (chosen !== undefined) entries.set(name, chosen);
  }
  return { entries, conflicts };
}

function findMissingTeams(draft: Draft): readonly MergeConflict[] {
  const known = new Set(draft.teams.map(({ name }) => name));
  return draft.rules.flatMap((rule) =>
    (rule.when.teams ?? [])
      .filter((team) => !known.has(team))
      .map((team) => ({ type: "missingTeam" as const, rule: rule.name, team })),
  );
}
