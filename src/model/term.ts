/**
 * A period in which one target may act as primary of its group. The round grows with every
 * election; the name of the VM that opened the term makes it unique, so two rival promoters can
 * never open the same one.
 */
export interface Term {
  readonly round: number;
  readonly vm: string;
}

/** The term before any election. */
export const firstTerm: Term = { round: 0, vm: "" };

/** Orders terms by round, then by VM name. Negative when `a` is the older one. */
export function compareTerms(a: Term, b: Term): number {
  if (a.round !== b.round) return a.round - b.round;
  if (a.vm === b.vm) return 0;
  return a.vm < b.vm ? -1 : 1;
}

/** Opens the term that follows every one of `seen`, in the name of `vm`. */
export function openTerm(vm: string, seen: readonly Term[]): Term {
  const highest = seen.reduce((round, term) => Math.max(round, term.round), 0);
  return { round: highest + 1, vm };
}

/** Writes a term as `round.vm`, the form of tokens, logs and the target's control functions. */
export function formatTerm(term: Term): string {
  return `${term.round}.${term.vm}`;
}

/** Reads what `formatTerm` wrote; `undefined` when the text is no term. */
export function parseTerm(text: string): Term | undefined {
  const dot = text.indexOf(".");
  const round = Number(text.slice(0, dot));
  if (dot < 1 || !Number.isSafeInteger(round) || round < 0) return undefined;
  return { round, vm: text.slice(dot + 1) };
}
