/** The faults of the stand-in platform that can be switched on and off while it runs. */
export class PlatformFaults {
  /** Every connection breaks without an answer. */
  isDown = false;
  /** Delays each answer, in milliseconds. */
  slowMs = 0;
  /** How far the list of VMs lags behind, in milliseconds. */
  listLagMs = 0;
  private lostAnswers = 0;

  /** Loses the answers to the next writes after they took effect. */
  loseWriteAnswers(count: number): void {
    this.lostAnswers += count;
  }

  /** Takes the fate of the answer to the write that has just taken effect. */
  consumeLostAnswer(): boolean {
    if (this.lostAnswers === 0) return false;
    this.lostAnswers -= 1;
    return true;
  }
}
