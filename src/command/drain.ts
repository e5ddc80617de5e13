import { printResult, type CommandContext } from "./context.js";
import { UnavailableError, UsageError } from "./errors.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";
import { listProxyEndpoints, type ProxyEndpoint } from "./endpoints.js";

/** Asks one proxy to leave: it finishes what it has and ends. */
export async function runDrain(context: CommandContext, vm: string): Promise<ExitCode> {
  const place = await findEndpointByVm(context, vm);
  if (place === undefined) throw new UsageError(`no VM ${vm} is known`);
  if (!(await context.proxies.requestDrain(place.health))) {
    throw new UnavailableError(`${vm} can't be reached, or takes no drain over HTTP`);
  }
  printResult(context, { vm, state: "draining" }, `${vm} is draining`);
  return exitCodes.done;
}

async function findEndpointByVm(
  context: CommandContext,
  vm: string,
): Promise<ProxyEndpoint | undefined> {
  const places = await listProxyEndpoints(context);
  const listed = places.find(({ name }) => name === vm);
  if (listed !== undefined || context.givenProxies.length === 0) return listed;
  const summaries = await Promise.all(
    places.map(({ health }) => context.proxies.readSummary(health)),
  );
  return places[summaries.findIndex((summary) => summary?.vm === vm)];
}
