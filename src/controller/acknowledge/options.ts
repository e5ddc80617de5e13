/** Rules that acknowledgement rests on. Only tests take one out, to show that it is needed. */
export interface AcknowledgeSafeguards {
  /** The last confirmations answer requests sent after the commit, the primary's included. */
  readonly freshness: boolean;
  /** A majority of the targets confirms, not just one. */
  readonly confirmMajority: boolean;
}

/** Everything on. */
export const allAcknowledgeSafeguards: AcknowledgeSafeguards = {
  freshness: true,
  confirmMajority: true,
};
