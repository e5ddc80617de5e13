import { compareTerms, formatTerm, parseTerm, type Term } from "./term.js";

/**
 * A position in a group's replicated log: the log holds `offset` records, the last of them written
 * in `term`. The first record that a primary writes in its term records the election, so every mark
 * that it reports has its own term.
 */
export interface Mark {
  readonly term: Term;
  readonly offset: number;
}

/** The start of a term in a log: `start` is the offset of the last record before the term. */
export interface Branch {
  readonly term: Term;
  readonly start: number;
}

/** The terms of one target's log in order, from `firstTerm` at 0. Starts never decrease. */
export type Lineage = readonly Branch[];

/**
 * Whether a log holds all records up to a mark. `behind`: `missing` records are still to be copied.
 * `cut`: it never will, since a later term begins at offset `at`, before the mark, and the records of
 * the mark's term after that offset were discarded.
 */
export type MarkCoverage =
  | { readonly type: "reached" }
  | { readonly type: "behind"; readonly missing: number }
  | { readonly type: "cut"; readonly at: number };

/**
 * Tells whether a target's log that ends at `held` covers `wanted`. Offsets alone don't suffice,
 * since records of a superseded term may have been discarded and others written at their offsets. A
 * mark of an older term is covered only up to the offset at which the next term of the lineage
 * begins, and never when the lineage lacks its term but has newer ones.
 */
export function findMarkCoverage(lineage: Lineage, held: Mark, wanted: Mark): MarkCoverage {
  if (wanted.offset === 0) return { type: "reached" };
  const isKnown = lineage.some((branch) => compareTerms(branch.term, wanted.term) === 0);
  const next = lineage.find((branch) => compareTerms(branch.term, wanted.term) > 0);
  if (next !== undefined && (!isKnown || wanted.offset > next.start)) {
    return { type: "cut", at: next.start };
  }
  if (isKnown && held.offset >= wanted.offset) return { type: "reached" };
  return { type: "behind", missing: Math.max(1, wanted.offset - held.offset) };
}

/** Orders marks by term, then by offset; the target with the greatest mark is preferred as primary. */
export function compareMarkOrder(a: Mark, b: Mark): number {
  const byTerm = compareTerms(a.term, b.term);
  return byTerm !== 0 ? byTerm : a.offset - b.offset;
}

/** Returns the greater of two marks by `compareMarkOrder`. */
export function pickLaterMark(a: Mark, b: Mark): Mark {
  return compareMarkOrder(a, b) >= 0 ? a : b;
}

/** Formats a mark as `offset@round.vm`. */
export function formatMark(mark: Mark): string {
  return `${mark.offset}@${formatTerm(mark.term)}`;
}

/** Parses the format of `formatMark`; `undefined` when the text is not a valid mark. */
export function parseMark(text: string): Mark | undefined {
  const at = text.indexOf("@");
  const offset = Number(text.slice(0, at));
  const term = parseTerm(text.slice(at + 1));
  if (at < 1 || term === undefined || !Number.isSafeInteger(offset) || offset < 0) return undefined;
  return { term, offset };
}
