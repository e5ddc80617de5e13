/** The safety guarantees of the system. Each name is a label of the violation metric. */
export const invariants = [
  "readYourWrites",
  "noSupersededAcknowledgement",
  "oneTransactionPerConnection",
  "wholeOwnAnswer",
  "notRunIsTrue",
  "atMostOnce",
  "noWorkForLeaving",
  "gracefulShutdown",
  "configurationNeverReverts",
] as const;

/** The name of an invariant. */
export type Invariant = (typeof invariants)[number];

/** Called with each violated invariant. A program counts and logs it, a test throws. */
export type ViolationHandler = (invariant: Invariant, detail: string) => void;

let handleViolation: ViolationHandler = (invariant, detail) => {
  throw new Error(`invariant ${invariant} broken: ${detail}`);
};

/**
 * Sets the handler of violated invariants for the whole process and returns the previous one. Until
 * the first call a violation throws.
 */
export function setViolationHandler(handler: ViolationHandler): ViolationHandler {
  const before = handleViolation;
  handleViolation = handler;
  return before;
}

/** Reports a violation unless `holds`. `detail` is called only for a violation. */
export function assertInvariant(invariant: Invariant, holds: boolean, detail: () => string): void {
  if (!holds) handleViolation(invariant, detail());
}
