/** Opens the incarnation of a run that started at `startedAt`, in milliseconds of the VM's clock. */
export function openIncarnation(startedAt: number): string {
  return `${startedAt}.0`;
}

/** The next incarnation of the same run, which refutes a suspicion of this one. */
export function refuteIncarnation(incarnation: string): string {
  const [startedAt, refutations] = splitIncarnation(incarnation);
  return `${startedAt}.${refutations + 1}`;
}

/** Orders incarnations of one VM: the later run, then the later refutation is the greater. */
export function compareIncarnations(a: string, b: string): number {
  const [startA, refutedA] = splitIncarnation(a);
  const [startB, refutedB] = splitIncarnation(b);
  return startA - startB || refutedA - refutedB;
}

function splitIncarnation(incarnation: string): readonly [number, number] {
  const [startedAt, refutations] = incarnation.split(".");
  return [Number(startedAt ?? 0) || 0, Number(refutations ?? 0) || 0];
}
