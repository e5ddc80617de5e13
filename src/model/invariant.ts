/** The brief's invariants, each counted where the program asserts it. */
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

/** Hears of each broken invariant: the metric and the log in a program, a throw in a test. */
export type ViolationHandler = (invariant: Invariant, detail: string) => void;

let handleViolation: ViolationHandler = (invariant, detail) => {
  throw new Error(`invariant ${invariant} broken: ${detail}`);
};

/** Sets who hears of broken invariants in this process, and hands back the one before. */
export function setViolationHandler(handler: ViolationHandler): ViolationHandler {
  const before = handleViolation;
  handleViolation = handler;
  return before;
}

/** Asserts an invariant inside the program. `detail` is built only when it is broken. */
export function assertInvariant(invariant: Invariant, holds: boolean, detail: () => string): void {
  if (!holds) handleViolation(invariant, detail());
}
