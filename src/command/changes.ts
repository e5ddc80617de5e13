import { isSameValue, type Draft } from "../controller/configuration/index.js";

/** A difference between two configurations. */
export interface Change {
  readonly type: "added" | "removed" | "changed" | "moved";
  readonly what: "team" | "rule" | "rules";
  readonly name: string;
}

/** Lists the changes that turn `before` into `after`. */
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
  const oldEntries = new Map(before.map((entry) => [entry.name, entry]));
  const newNames = new Set(after.map(({ name }) => name));
  const addedOrChanged = after.flatMap((entry): readonly Change[] => {
    const old = oldEntries.get(entry.name);
    if (old === undefined) return [{ type: "added", what, name: entry.name }];
    return isSameValue(old, entry) ? [] : [{ type: "changed", what, name: entry.name }];
  });
  const removed = before
    .filter(({ name }) => !newNames.has(name))
    .map(({ name }): Change => ({ type: "removed", what, name }));
  return [...addedOrChanged, ...removed];
}

function listOrderChanges(before: Draft, after: Draft): readonly Change[] {
  const oldOrder = before.rules.map(({ name }) => name);
  const newOrder = after.rules.map(({ name }) => name);
  const shared = oldOrder.filter((name) => newOrder.includes(name));
  const isSame = isSameValue(
    shared,
    newOrder.filter((name) => oldOrder.includes(name)),
  );
  return isSame ? [] : [{ type: "moved", what: "rules", name: newOrder.join(", ") }];
}

const signs = { added: "+", removed: "-", changed: "~", moved: "~" } as const;

/** Formats a change as a line of text. */
export function formatChange({ type, what, name }: Change): string {
  if (type === "moved") return `${signs[type]} order of rules: ${name}`;
  return `${signs[type]} ${what} ${name}`;
}
