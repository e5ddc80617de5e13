/** Safety rules of acknowledgement. Only tests disable one, to show that it is needed. */
export interface AcknowledgeSafeguards {
  /**
   * The last confirmations, the primary's included, answer requests that were sent after the
   * commit.
   */
  readonly freshness: boolean;
  /** A majority of the targets has to confirm, not just one target. */
  readonly confirmMajority: boolean;
}

/** All rules enabled. */
export const allAcknowledgeSafeguards: AcknowledgeSafeguards = {
  freshness: true,
  confirmMajority: true,
};
