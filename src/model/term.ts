/**
 * A period in which at most one target may act as primary of its group. The round increases with
 * every election. Two VMs that elect a primary at the same time may choose the same round, but never
 * the same term, since a term also has the name of the VM that opened it.
 */
export interface Term {
  readonly round: number;
  readonly vm: string;
}

/** The term in force before the first election. */
export const firstTerm: Term = { round: 0, vm: "" };

/** Orders terms by round, then by VM name. Negative when `a` is the older one. */
export function compareTerms(a: Term, b: Term): number {
  if (a.round !== b.round) return a.round - b.round;
  if (a.vm === b.vm) return 0;
  return a.vm < b.vm ? -1 : 1;
}

/** Creates a term of `vm` that is greater than every one of `seen`. */
export function openTerm(vm: string, seen: readonly Term[]): Term {
  const highest = seen.reduce((round, term) => Math.max(round, term.round), 0);
  return { round: highest + 1, vm };
}

/** Formats a term as `round.vm`, as in session tokens, logs and a target's control functions. */
export function formatTerm(term: Term): string {
  return `${term.round}.${term.vm}`;
}

/** Parses the format of `formatTerm`; `undefined` when the text is not a valid term. */
export function parseTerm(text: string): Term | undefined {
  const dot = text.indexOf(".");
  const round = Number(text.slice(0, dot));
  if (dot < 1 || !Number.isSafeInteger(round) || round < 0) return undefined;
  return { round, vm: text.slice(dot + 1) };
}
