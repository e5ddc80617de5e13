import type { WorkRunner } from "./runner.js";
import { runAutocommit } from "./autocommit.js";
import { Transaction } from "./transaction.js";

/** Runs statements over this process's own connections to the targets. */
export const directRunner: WorkRunner = {
  runAutocommit: runAutocommit,
  openTransaction: (isReadOnly) => new Transaction(isReadOnly),
};
