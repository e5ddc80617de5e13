/**
 * Creates the first incarnation of a run that started at `startedAt`, in milliseconds of the VM's
 * clock.
 */
export function openIncarnation(startedAt: number): string {
  return `${startedAt}.0`;
}

/** Returns the next incarnation of the same run, which refutes suspicions of the given one. */
export function refuteIncarnation(incarnation: string): string {
  const [startedAt, refutations] = parseIncarnation(incarnation);
  return `${startedAt}.${refutations + 1}`;
}

/** Compares incarnations of one VM by the start of the run, then by the number of refutations. */
export function compareIncarnations(a: string, b: string): number {
  const [startA, refutedA] = parseIncarnation(a);
  const [startB, refutedB] = parseIncarnation(b);
  return startA - startB || refutedA - refutedB;
}

function parseIncarnation(incarnation: string): readonly [number, number] {
  const [startedAt, refutations] = incarnation.split(".");
  return [Number(startedAt ?? 0) || 0, Number(refutations ?? 0) || 0];
}
