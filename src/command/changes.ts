import { isSameValue, type Draft } from "../controller/configuration/index.js";

/** One difference between two drafts. */
export interface Change {
  readonly type: "added" | "removed" | "changed" | "moved";
  readonly what: "team" | "rule" | "rules";
  readonly name: string;
}

/** Lists what takes `before` to `after`. */
export function listChanges(before: Draft, after: Draft): readonly Change[] {
  return [
    ...listEntryChanges("team", before.teams, after.teams),
    ...listEntryChanges("rule", before.rules, after.rules),
    ...listOrderChanges(before, after),
  ];
}

function listEntryChanges<T extends { readonly name: string }>(
  what: "team" | "rule",
  before: readonly T[],
  after: readonly T[],
): readonly Change[] {
  const known = new Map(before.map((entry) => [entry.name, entry]));
  const wanted = new Set(after.map(({ name }) => name));
  const kept = after.flatMap((entry): readonly Change[] => {
    const old = known.get(entry.name);
    if (old === undefined) return [{ type: "added", what, name: entry.name }];
    return isSameValue(old, entry) ? [] : [{ type: "changed", what, name: entry.name }];
  });
  const gone = before
    .filter(({ name }) => !wanted.has(name))
    .map(({ name }): Change => ({ type: "removed", what, name }));
  return [...kept, ...gone];
}

function listOrderChanges(before: Draft, after: Draft): readonly Change[] {
  const old = before.rules.map(({ name }) => name);
  const order = after.rules.map(({ name }) => name);
  const shared = old.filter((name) => order.includes(name));
  const isSame = isSameValue(
    shared,
    order.filter((name) => old.includes(name)),
  );
  return isSame ? [] : [{ type: "moved", what: "rules", name: order.join(", ") }];
}

const signs = { added: "+", removed: "-", changed: "~", moved: "~" } as const;

/** Writes one change on a line. */
export function formatChange({ type, what, name }: Change): string {
  if (type === "moved") return `${signs[type]} order of rules: ${name}`;
  return `${signs[type]} ${what} ${name}`;
}
