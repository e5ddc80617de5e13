/** How commands end. Numbers never change their meaning. */
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

/** The exit code of a command. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** What each exit code says, for `--help`. */
export const exitCodeHelp = `  0  done
  1  unexpected error
  2  wrong arguments
  3  the file has faults
  4  conflict with another operator's change, or its base is no longer kept
  5  the platform's store or the proxies can't be reached
  6  the change may have taken effect: read it back before trying again
  7  accepted, but not in force on every live proxy in time; it comes into force by itself
  10 diff: the file differs from what is in force`;
