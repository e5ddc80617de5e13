import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";

/** Runs a step of a poll; resolves to whether it returned true. Never rejects. */
export type StepRunner = (step: () => unknown) => Promise<boolean>;

/**
 * Creates a runner that logs what a step throws, and counts it as failed. An error that nobody expected would otherwise
 * end the polling for good, and with it all changes of primary, while callers are still accepted.
 */
export function createStepRunner(logger: Logger): StepRunner {
  return async (step) => {
    try {
      return (await step()) === true;
    } catch (error) {
      logger.write(nodeEvents.pollFailed, { reason: String(error) });
      return false;
    }
  };
}
