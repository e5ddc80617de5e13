/** Longer runs are ended, in milliseconds. */
const maxRunMs = 110_000;
const couldNotRun = 2;

/** Runs a case and ends this process with its code, or with 2 after any error or when it takes too long. */
export async function runCase(run: () => Promise<number>): Promise<void> {
  const giveUp = (error: unknown) => {
    console.error(error);
    process.exit(couldNotRun);
  };
  process.on("uncaughtException", giveUp);
  process.on("unhandledRejection", giveUp);
  setTimeout(() => giveUp(new Error(`not over after ${maxRunMs} ms`)), maxRunMs);
  process.exit(await run());
}
