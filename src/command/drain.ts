import { printResult, type CommandContext } from "./context.js";
import { UnavailableError, UsageError } from "./errors.js";
import { exitCodes, type ExitCode } from "./exit.js";
import { findPlaces, type Place } from "./places.js";

/** Asks one proxy to leave: it finishes what it has and ends. */
export async function runDrain(context: CommandContext, vm: string): Promise<ExitCode> {
  const place = await findByName(context, vm);
  if (place === undefined) throw new UsageError(`no VM ${vm} is known`);
  if (!(await context.proxies.drain(place.health))) {
    throw new UnavailableError(`${vm} can't be reached, or takes no drain over HTTP`);
  }
  printResult(context, { vm, state: "draining" }, `${vm} is draining`);
  return exitCodes.done;
}

async function findByName(context: CommandContext, vm: string): Promise<Place | undefined> {
  const places = await findPlaces(context);
  const listed = places.find(({ name }) => name === vm);
  if (listed !== undefined || context.given.length === 0) return listed;
  const summaries = await Promise.all(
    places.map(({ health }) => context.proxies.readSummary(health)),
  );
  return places[summaries.findIndex((summary) => summary?.vm === vm)];
}
