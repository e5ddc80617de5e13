/** Faults of the stand-in platform that can be changed while it runs. */
export class PlatformFaults {
  /** While true, every connection is closed without a response. */
  isDown = false;
  /** The delay of each response, in milliseconds. */
  slowMs = 0;
  /** The age of the list of VMs that is served, in milliseconds. */
  listLagMs = 0;
  private lostAnswers = 0;

  /** Makes the next `count` writes take effect without a response. */
  loseWriteAnswers(count: number): void {
    this.lostAnswers += count;
  }

  /** Returns whether the response to the current write is to be lost, and counts it as lost. */
  consumeLostAnswer(): boolean {
    if (this.lostAnswers === 0) return false;
    this.lostAnswers -= 1;
    return true;
  }
}
