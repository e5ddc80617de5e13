/** A machine or the store counts as in touch this long after the last disruption, in milliseconds. */
export const contactMs = 4000;

interface Span {
  readonly from: number;
  readonly to: number;
}

/** When something was disrupted. Times are in milliseconds since the epoch. */
export class ContactLog {
  private readonly disruptions: Span[] = [];

  /** Records a disruption that begins now and lasts for a while; a moment by default. */
  recordDisruption(forMs = 0): void {
    const from = Date.now();
    this.disruptions.push({ from, to: from + forMs });
  }

  /** Whether there was no disruption from `forMs` before a time up to it. */
  isInTouch(at: number, forMs = contactMs): boolean {
    return !this.disruptions.some(({ from, to }) => from <= at && to > at - forMs);
  }
}
