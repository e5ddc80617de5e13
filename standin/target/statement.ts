import type { Node } from "libpg-query";
import type { Mark } from "../../src/model/index.js";

/** What became of a statement that was run. */
export type StatementOutcome =
  | { readonly type: "open" }
  | { readonly type: "failed"; readonly state: string }
  | { readonly type: "rolledBack" }
  /** It had to wait for another transaction; its next try has an entry of its own. */
  | { readonly type: "waited" }
  /** Committed; without a mark when nothing was changed. */
  | { readonly type: "committed"; readonly mark?: Mark };

/** One statement that was run, for tests that check that "not run" is true. */
export interface ExecutedStatement {
  readonly text: string;
  readonly connection: number;
  readonly fate: StatementOutcome;
}

const maxKept = 50_000;

/** Keeps the statements that were run, the newest ones. */
export class StatementHistory {
  private readonly kept: { text: string; connection: number; fate: StatementOutcome }[] = [];

  /** Records the beginning of a statement; the function that it hands back sets its fate. */
  begin(text: string, connection: number): (fate: StatementOutcome) => void {
    const entry = { text, connection, fate: { type: "open" } as StatementOutcome };
    this.kept.push(entry);
    if (this.kept.length > maxKept) this.kept.shift();
    return (fate) => (entry.fate = fate);
  }

  /** Lists the statements whose text contains `part`, such as a tag. */
  list(part = ""): readonly ExecutedStatement[] {
    return this.kept.filter((entry) => entry.text.includes(part));
  }
}

/** A prepared statement of the extended protocol; no node for an empty one. */
export interface PreparedStatement {
  readonly text: string;
  readonly node: Node | undefined;
  readonly oids: readonly number[];
}
