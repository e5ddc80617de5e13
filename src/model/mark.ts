import { compareTerms, formatTerm, parseTerm, type Term } from "./term.js";

/**
 * A place in a group's log: `offset` records since the log began, the last of them written in
 * `term`. A primary's first record in its term marks the election, so that its marks carry the term.
 */
export interface Mark {
  readonly term: Term;
  readonly offset: number;
}

/** Where a term's records begin: the offset of the last record before it. */
export interface Branch {
  readonly term: Term;
  readonly start: number;
}

/** The terms of one target's log, from `firstTerm` at 0 to the newest. Starts never decrease. */
export type Lineage = readonly Branch[];

/**
 * What a log holds of a wanted mark: all of it, not yet all, or never all, since a later term
 * branched off before the mark and cut its end away.
 */
export type MarkCoverage =
  | { readonly type: "reached" }
  | { readonly type: "behind"; readonly missing: number }
  | { readonly type: "cut"; readonly at: number };

/**
 * Compares a mark with the log of a target by lineage: a mark of an older term counts only up to
 * the offset at which the next term of the lineage branched off, and not at all when its term is
 * missing from a lineage that has newer ones.
 */
export function findMarkCoverage(lineage: Lineage, held: Mark, wanted: Mark): MarkCoverage {
  if (wanted.offset === 0) return { type: "reached" };
  const isKnown = lineage.some((b) => compareTerms(b.term, wanted.term) === 0);
  const next = lineage.find((b) => compareTerms(b.term, wanted.term) > 0);
  if (next !== undefined && (!isKnown || wanted.offset > next.start)) {
    return { type: "cut", at: next.start };
  }
  if (isKnown && held.offset >= wanted.offset) return { type: "reached" };
  return { type: "behind", missing: Math.max(1, wanted.offset - held.offset) };
}

/** Orders marks by term, then by offset: the order in which a promoter prefers logs. */
export function compareMarkOrder(a: Mark, b: Mark): number {
  const byTerm = compareTerms(a.term, b.term);
  return byTerm !== 0 ? byTerm : a.offset - b.offset;
}

/** The later of two marks in the promoter's order. */
export function pickLaterMark(a: Mark, b: Mark): Mark {
  return compareMarkOrder(a, b) >= 0 ? a : b;
}

/** Writes a mark as `offset@round.vm`. */
export function formatMark(mark: Mark): string {
  return `${mark.offset}@${formatTerm(mark.term)}`;
}

/** Reads what `formatMark` wrote; `undefined` when the text is no mark. */
export function parseMark(text: string): Mark | undefined {
  const at = text.indexOf("@");
  const offset = Number(text.slice(0, at));
  const term = parseTerm(text.slice(at + 1));
  if (at < 1 || term === undefined || !Number.isSafeInteger(offset) || offset < 0) return undefined;
  return { term, offset };
}
