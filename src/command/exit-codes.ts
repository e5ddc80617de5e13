/** The exit codes of commands. Numbers are never reused for another meaning. */
export const exitCodes = {
  done: 0,
  unexpected: 1,
  usage: 2,
  faultyFile: 3,
  conflict: 4,
  unavailable: 5,
  uncertain: 6,
  notEverywhere: 7,
  differs: 10,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** The meaning of each exit code, for `--help`. */
export const exitCodeHelp = `  0  done
  1  unexpected error
  2  wrong arguments
  3  the file has faults
  4  conflict with another operator's change, or the base revision is no longer stored
  5  the platform's store or the proxies are unreachable
  6  the change may have taken effect: read it back before trying again
  7  accepted, but not in force on every live proxy in time; it takes effect without further action
  10 diff: the file differs from the stored configuration`;
