import type { Node } from "libpg-query";
import type { Mark } from "../../src/model/index.js";

/** The outcome of an executed statement. */
export type StatementOutcome =
  | { readonly type: "open" }
  | { readonly type: "failed"; readonly state: string }
  | { readonly type: "rolledBack" }
  /** It had to wait for another transaction; the retry has its own entry. */
  | { readonly type: "waited" }
  /** Committed; without a mark if it changed nothing. */
  | { readonly type: "committed"; readonly mark?: Mark };

/** One executed statement. Tests use it to check that a statement reported as not run never ran. */
export interface ExecutedStatement {
  readonly text: string;
  readonly connection: number;
  readonly fate: StatementOutcome;
}

const maxEntries = 50_000;

/** Keeps the most recent executed statements. */
export class StatementHistory {
  private readonly entries: { text: string; connection: number; fate: StatementOutcome }[] = [];

  /** Records the start of a statement; the returned function sets its outcome. */
  begin(text: string, connection: number): (outcome: StatementOutcome) => void {
    const entry = { text, connection, fate: { type: "open" } as StatementOutcome };
    this.entries.push(entry);
    if (this.entries.length > maxEntries) this.entries.shift();
    return (outcome) => (entry.fate = outcome);
  }

  /** Lists the statements whose text contains `part`, such as a tag. */
  list(part = ""): readonly ExecutedStatement[] {
    return this.entries.filter((entry) => entry.text.includes(part));
  }
}

/** A prepared statement of the extended protocol; an empty one has no node. */
export interface PreparedStatement {
  readonly text: string;
  readonly node: Node | undefined;
  readonly oids: readonly number[];
}
