import type { Node } from "libpg-query";
import type { Mark } from "../../src/model/index.js";

/** What became of a statement that was run. */
export type StatementFate =
  | { readonly type: "open" }
  | { readonly type: "failed"; readonly state: string }
  | { readonly type: "rolledBack" }
  /** It had to wait for another transaction; its next try has an entry of its own. */
  | { readonly type: "waited" }
  /** Committed; without a mark when nothing was changed. */
  | { readonly type: "committed"; readonly mark?: Mark };

/** One statement that was run, for tests that check that "not run" is true. */
export interface RunStatement {
  readonly text: string;
  readonly connection: number;
  readonly fate: StatementFate;
}

const maxKept = 50_000;

/** Keeps the statements that were run, the newest ones. */
export class StatementRecord {
  private readonly kept: { text: string; connection: number; fate: StatementFate }[] = [];

  /** Records the beginning of a statement; the function that it hands back sets its fate. */
  begin(text: string, connection: number): (fate: StatementFate) => void {
    const entry = { text, connection, fate: { type: "open" } as StatementFate };
    this.kept.push(entry);
    if (this.kept.length > maxKept) this.kept.shift();
    return (fate) => (entry.fate = fate);
  }

  /** Lists the statements whose text contains `part`, such as a tag. */
  list(part = ""): readonly RunStatement[] {
    return this.kept.filter((entry) => entry.text.includes(part));
  }
}

/** A prepared statement of the extended protocol; no node for an empty one. */
export interface Prepared {
  readonly text: string;
  readonly node: Node | undefined;
  readonly oids: readonly number[];
}
